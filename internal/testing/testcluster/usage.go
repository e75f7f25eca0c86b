package testcluster

// This file reads the resource usage of a process from /proc, whose files proc(5) describes.

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit in which Linux reports processor time: USER_HZ is 100 on all common architectures.
const clockTick = 10 * time.Millisecond

// Indexes of fields in /proc/PID/stat. They count from the third field, the process state, as the second is the program's
// name and may contain spaces.
const (
	statUserTime   = 11 // clock ticks
	statSystemTime = 12 // clock ticks
	statResident   = 21 // pages
)

// Usage returns the processor time of the present incarnation, in steps of 10 ms, and its resident memory in bytes. It
// returns an error if the process does not run.
func (p *Process) Usage() (cpu time.Duration, resident int64, err error) {
	p.mu.Lock()
	command := p.command
	p.mu.Unlock()
	if command == nil {
		return 0, 0, p.errNotRunning()
	}
	return ProcessUsage(command.Process.Pid)
}

// ProcessUsage returns the processor time of any process on this machine, in steps of 10 ms, and its resident memory in
// bytes.
func ProcessUsage(pid int) (cpu time.Duration, resident int64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= statResident {
		return 0, 0, fmt.Errorf("testcluster: /proc/%d/stat: too few fields after the name: %d", pid, len(fields))
	}
	var userTicks, systemTicks, residentPages int64
	for _, field := range []struct {
		index int
		value *int64
	}{
		{statUserTime, &userTicks},
		{statSystemTime, &systemTicks},
		{statResident, &residentPages},
	} {
		if *field.value, err = strconv.ParseInt(fields[field.index], 10, 64); err != nil {
			return 0, 0, fmt.Errorf("testcluster: /proc/%d/stat: %w", pid, err)
		}
	}
	return time.Duration(userTicks+systemTicks) * clockTick, residentPages * int64(os.Getpagesize()), nil
}
