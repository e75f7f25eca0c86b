package hollow

// This file reads the resource usage of a process from /proc and from its sockets.

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Usage is the resource usage of a process up to a time.
type Usage struct {
	At       time.Time
	CPU      time.Duration           // processor time of all threads, including those that have ended
	Resident int64                   // bytes of memory now
	Threads  int                     // number of threads now
	sockets  map[string]socketCounts // of the open TCP connections, by name of the socket
}

// socketCounts holds the system's counts of one TCP connection. Its bytes are those of the payload, without headers and retransmissions.
type socketCounts struct {
	received, written uint64 // bytes
	segments          uint64 // in both directions
}

// ReadUsage reads the usage of a process, which must be this one or a child of it.
func ReadUsage(pid int) (usage Usage, err error) {
	usage = Usage{At: time.Now()}
	if usage.CPU, err = cpuTime(pid); err != nil {
		return usage, err
	}
	if usage.sockets, err = readSockets(pid); err != nil {
		return usage, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return usage, err
	}
	kilobytes, err := statusField(string(status), "VmRSS:")
	if err != nil {
		return usage, err
	}
	usage.Resident = int64(kilobytes) * 1024
	usage.Threads, err = statusField(string(status), "Threads:")
	return usage, err
}

// cpuClockKind is CPUCLOCK_SCHED of Linux, the precise processor time of a process.
const cpuClockKind = 2

// cpuTime returns the processor time of a process. It reads the process's clock, as /proc has steps of 10 ms. The ID of that
// clock is derived from the process ID as by MAKE_PROCESS_CPUCLOCK of Linux.
func cpuTime(pid int) (time.Duration, error) {
	clockID := int32(^pid<<3 | cpuClockKind)
	var spec unix.Timespec
	if err := unix.ClockGettime(clockID, &spec); err != nil {
		return 0, fmt.Errorf("hollow: CPU time of process %d: %w", pid, err)
	}
	return time.Duration(spec.Nano()), nil
}

// statusField returns the number after a name in the text of /proc/PID/status.
func statusField(status, name string) (int, error) {
	_, after, ok := strings.Cut(status, "\n"+name)
	fields := strings.Fields(after)
	if !ok || len(fields) == 0 {
		return 0, fmt.Errorf("hollow: the status of the process has no field %s", name)
	}
	return strconv.Atoi(fields[0])
}

// readSockets reads the counts of every established TCP connection of a process, by the name of its socket.
func readSockets(pid int) (map[string]socketCounts, error) {
	process, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return nil, fmt.Errorf("hollow: process %d: %w", pid, err)
	}
	defer unix.Close(process)
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	open, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	all := map[string]socketCounts{}
	for _, entry := range open {
		name, err := os.Readlink(dir + "/" + entry.Name())
		descriptor, numberErr := strconv.Atoi(entry.Name())
		if err != nil || numberErr != nil || !strings.HasPrefix(name, "socket:") {
			continue // closed meanwhile, or not a socket
		}
		if counts, ok := readSocket(process, descriptor); ok {
			all[name] = counts
		}
	}
	return all, nil
}

// tcpEstablished is the state of an established connection in Linux's TCP_INFO.
const tcpEstablished = 1

// readSocket reads the counts of a socket of another process. It returns false if the socket is closed or is not an established
// TCP connection.
func readSocket(process, descriptor int) (counts socketCounts, ok bool) {
	duplicate, err := unix.PidfdGetfd(process, descriptor, 0)
	if err != nil {
		return counts, false
	}
	defer unix.Close(duplicate)
	info, err := unix.GetsockoptTCPInfo(duplicate, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.State != tcpEstablished {
		return counts, false
	}
	return socketCounts{
		received: info.Bytes_received,
		written:  info.Bytes_acked,
		segments: uint64(info.Segs_in) + uint64(info.Segs_out),
	}, true
}

// Since returns the usage per second since an earlier reading. Connections that were closed in between are left out.
func (u *Usage) Since(earlier *Usage) (rates Rates) {
	seconds := u.At.Sub(earlier.At).Seconds()
	for name, now := range u.sockets {
		before := earlier.sockets[name]
		rates.Received += float64(now.received-before.received) / seconds
		rates.Written += float64(now.written-before.written) / seconds
	}
	rates.Cores = (u.CPU - earlier.CPU).Seconds() / seconds
	rates.Resident = float64(u.Resident)
	return rates
}

// Segments counts the TCP segments since an earlier reading, in both directions and including empty ones, and the bytes that
// they carried. Connections that were opened or closed in between are left out. On loopback a segment holds up to 64 KB.
func (u *Usage) Segments(earlier *Usage) (segments, bytes float64) {
	for name, now := range u.sockets {
		if before, ok := earlier.sockets[name]; ok {
			segments += float64(now.segments - before.segments)
			bytes += float64(now.received - before.received + now.written - before.written)
		}
	}
	return segments, bytes
}
