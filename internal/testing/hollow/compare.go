package hollow

// This file compares the cost of following control machines for a real director and for a hollow one.

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/testing/emulator"
	"indigochute.example/indigochute/internal/topology"
)

// idleTopology is the YAML of emulated machines that no client uses, in which %d is the number of directors.
const idleTopology = `
name: quiet
zones: [{name: here, link: 4MB/s, directors: %d}]
kinds: [{name: std, cores: 2, pace: 400KB/s, each: 2ms, slots: 32, room: 32, memory: 2MB, number: {here: 4}}]
parents: [{name: mid, zone: here, number: 1, link: 4MB/s, fetches: 60, memory: 12MB}]
origin: {link: 4MB/s, latency: 10ms, fetches: 80}
flow: 400KB/s
news: 100ms
vhosts: [{name: page, aim: 500ms, timeout: 2s, effect: replayable, value: 1, sizes: {least: 1KB, most: 6KB}, demand: {share: 100%%, objects: 400, skew: 0.8}}]
cold: {floor: 15%%, ramp: 6s, multiple: 3, window: 2s}
clients: {retries: 1, after: 300ms}
`

// MaxRealDirectors is the largest number of real directors that Compare accepts.
const MaxRealDirectors = 40

// maxListenTime is how long a real director may take from its start until it accepts clients.
const maxListenTime = 10 * time.Second

// Comparison holds what it costs a real director and a hollow one to follow control machines. The cost of each is its usage
// less what it uses without control machines.
type Comparison struct {
	Directors      int   `json:"directors"`
	RealStandalone Rates `json:"real_without"` // a real director without a cluster configuration
	RealFollowing  Rates `json:"real_with"`    // a real director that follows control machines
	Real           Rates `json:"real"`         // difference of the two above: the cost of following control machines
	Hollow         Rates `json:"hollow"`       // one director's share of a host, less that of a host without directors
	Ratio          Rates `json:"ratio"`        // Hollow divided by Real; 0 for goroutines, which are unknown for real directors
}

// Compare measures a number of real directors without and with a cluster configuration, in front of emulated machines without
// clients, and as many hollow directors.
func (m *Meter) Compare(directors int) (*Comparison, error) {
	if directors < 1 || directors > MaxRealDirectors {
		return nil, fmt.Errorf("hollow: %d real directors, want 1 to %d", directors, MaxRealDirectors)
	}
	c := &Comparison{Directors: directors}
	var err error
	if c.RealStandalone, err = m.measureReal(directors, nil); err != nil {
		return nil, err
	}
	layout := Layout{Directors: directors, NameFormat: "n%d", Settings: trafficJobs}
	control, err := StartControlPlane(m.Program, layout, m.ControlMachines, trafficMachines)
	if err != nil {
		return nil, err
	}
	defer control.Close()
	if c.RealFollowing, err = m.measureReal(directors, control); err != nil {
		return nil, err
	}
	if c.Hollow, err = m.measureHollow(directors, control); err != nil {
		return nil, err
	}
	m.Progress(fmt.Sprintf("%d real directors and as many hollow ones", directors))
	c.Real = c.RealFollowing.minus(c.RealStandalone)
	c.Ratio = Rates{
		Received: ratio(c.Hollow.Received, c.Real.Received),
		Written:  ratio(c.Hollow.Written, c.Real.Written),
		Cores:    ratio(c.Hollow.Cores, c.Real.Cores),
		Resident: ratio(c.Hollow.Resident, c.Real.Resident),
	}
	return c, nil
}

// ratio returns the quotient of two figures, or 0 if the divisor is not positive.
func ratio(dividend, divisor float64) float64 {
	if divisor <= 0 {
		return 0
	}
	return dividend / divisor
}

// measureHollow measures a host of directors and an empty host. It returns the difference, divided by the number of directors.
func (m *Meter) measureHollow(directors int, control *ControlPlane) (rates Rates, err error) {
	var hosts []*Process // the empty one first
	defer func() {
		for _, p := range hosts {
			err = errors.Join(err, p.Close())
		}
	}()
	for _, number := range []int{0, directors} {
		p, err := control.StartDirectors(m.Program, 0, number)
		if err != nil {
			return rates, err
		}
		hosts = append(hosts, p)
	}
	if _, err := m.awaitSettled(hosts[1], linksToControl); err != nil {
		return rates, err
	}
	all, err := m.rates(hosts)
	if err != nil {
		return rates, err
	}
	return all[1].minus(all[0]).dividedBy(directors), nil
}

// measureReal returns the mean usage of a number of real directors. They follow the control machines, or run
// without a cluster configuration if control is nil.
func (m *Meter) measureReal(directors int, control *ControlPlane) (rates Rates, err error) {
	network, err := topology.Parse("quiet", fmt.Appendf(nil, idleTopology, directors))
	if err != nil {
		return rates, err
	}
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetLevel(logrus.ErrorLevel)
	machines, err := emulator.Start(network, emulator.Options{Seed: 1, Log: log})
	if err != nil {
		return rates, err
	}
	defer machines.Close()
	processes := realDirectors{program: m.Program, machines: machines}
	defer processes.kill()
	if control != nil {
		processes.clusterConfig = control.ConfigFile
	}
	if err := processes.start(directors); err != nil {
		return rates, err
	}
	if control != nil {
		if err := control.awaitSubscribers(linksToControl * directors); err != nil {
			return rates, err
		}
	}
	time.Sleep(m.SettleTime)
	all, err := m.ratesOf(processes.pids())
	if err != nil {
		return rates, err
	}
	for _, director := range all {
		rates = rates.plus(director)
	}
	return rates.dividedBy(directors), nil
}

// realDirectors are directors as processes of their own.
type realDirectors struct {
	program       string
	machines      *emulator.Fleet
	clusterConfig string // path of the cluster configuration file; empty for none
	dir           string // of the platform's configuration files
	commands      []*exec.Cmd
}

// start starts a number of directors, one after the other, and waits until each accepts clients. The caller calls kill, even
// after an error.
func (d *realDirectors) start(number int) (err error) {
	if d.dir, err = os.MkdirTemp("", "hollow"); err != nil {
		return err
	}
	for i := range number {
		if err := d.startDirector(i); err != nil {
			return err
		}
	}
	return nil
}

// startDirector starts the director with the given number and waits until it accepts clients.
func (d *realDirectors) startDirector(number int) error {
	address, err := emulator.FreePort()
	if err != nil {
		return err
	}
	raw, err := d.machines.DirectorConfig(0, number, address.String())
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, fmt.Sprintf("n%d.json", number))
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	args := []string{"serve", "--log-level", "error"}
	if d.clusterConfig != "" {
		args = append(args, "--operator", d.clusterConfig)
	}
	command := exec.Command(d.program, args...)
	command.Env = append(os.Environ(), "ROUTER_CONFIG="+path)
	command.Stderr = os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends the director even if this process is killed
	if err := command.Start(); err != nil {
		return err
	}
	d.commands = append(d.commands, command)
	return emulator.WaitListening(address, maxListenTime)
}

// pids returns the process IDs of all directors.
func (d *realDirectors) pids() (pids []int) {
	for _, command := range d.commands {
		pids = append(pids, command.Process.Pid)
	}
	return pids
}

// kill ends all directors immediately and removes their files.
func (d *realDirectors) kill() {
	for _, command := range d.commands {
		command.Process.Kill()
		command.Wait()
	}
	if d.dir != "" {
		os.RemoveAll(d.dir)
	}
}
