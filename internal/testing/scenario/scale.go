package scenario

// This file starts, runs and ends the scenario "scale". Hundreds of directors, most of them hollow, follow control machines
// while faults are injected. Their latencies and resource usage are compared with budgets.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"indigochute.example/indigochute/internal/testing/emulator"
	"indigochute.example/indigochute/internal/testing/hollow"
	"indigochute.example/indigochute/internal/testing/testcluster"
	"indigochute.example/indigochute/internal/topology"
)

const (
	maxLinkTime     = 40 * time.Second // from the start until all directors have two links
	clientRate      = 60               // requests a second, to all real directors together
	maxRunTime      = 150 * time.Second
	scaleSeedStream = 0x5ca1e // second half of the seed of the random numbers
)

// scaleRun is one run of the scenario. The goroutine that runs it owns all fields except those under mu. The goroutines in
// background send the requests of clients and take samples until stop is closed.
type scaleRun struct {
	sizes          Sizes
	timing         timing
	layout         *layout
	cluster        *testcluster.Cluster // control machines first, then real directors
	hollow         *hollow.Process      // all other directors
	random         *rand.Rand
	result         scaleResult
	phases         []phase
	record         []string
	leaderKilledAt time.Time // zero until the leader is killed

	quiet      atomic.Bool // the quiet phase is being measured
	stop       chan struct{}
	background sync.WaitGroup

	mu         sync.Mutex         // guards the fields below, and result.Samples, HollowMemory, RealMemory and Control
	cpu        map[string]cpuTime // of control machines, by name
	sampleErrs []error            // the first maxListed
}

// cpuTime is the processor time of a process.
type cpuTime struct {
	current time.Duration // of the present incarnation of the process
	total   time.Duration // of all incarnations so far
}

// runScale runs the scenario with the given sizes.
func runScale(sizes Sizes, seed uint64, r *Report) (err error) {
	if err := sizes.check(); err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	s, err := startScale(program, sizes, seed)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.close()) }()
	if err := s.run(); err != nil {
		return fmt.Errorf("%w\n%s", err, strings.Join(s.diagnostics(), "\n"))
	}
	s.result.check(r)
	r.Figures["large_note_period_s"] = s.timing.largeEventPeriod.Seconds()
	r.Figures["took_s"] = s.cluster.Now().Seconds()
	if s.cluster.Now() > maxRunTime {
		r.addViolation("the run took %v, want at most %v", s.cluster.Now(), maxRunTime)
	}
	r.Record = append(append(r.Record, figureNotes...), s.record...)
	if len(r.Violations) > 0 {
		r.Record = append(r.Record, s.diagnostics()...)
	}
	return nil
}

// figureNotes explain some figures of the report to its readers.
var figureNotes = []string{
	"director_core_percent: processor time of the process that runs all hollow directors and their checker, divided by their number",
	"director_bytes_per_s: bytes of frames that a hollow director reads and writes for control traffic; with headers: with those of " +
		"TCP and IPv4, estimated from the segments that the system counted in the quiet phase",
	"director_memory_mb: memory of the process of hollow directors, divided by their number; real_director_memory_mb: memory of a " +
		"complete process that serves clients",
	"worst_window: the worst ten seconds, or the complete run if it is shorter",
	"note_beside_faults: the largest value of all phases with a fault; events published before a region was joined again are " +
		"measured from that moment, as catch_up_s",
}

// startScale starts control machines, real directors and hollow directors, and waits until all directors have their links.
func startScale(program string, sizes Sizes, seed uint64) (*scaleRun, error) {
	s := &scaleRun{
		sizes:  sizes,
		timing: timingOf(sizes),
		layout: newLayout(sizes),
		random: rand.New(rand.NewPCG(seed, scaleSeedStream)),
		stop:   make(chan struct{}),
		cpu:    map[string]cpuTime{},
	}
	s.result = newScaleResult(sizes, len(s.layout.hollowDirectors()))
	files := &configWriter{layout: s.layout, largeEventPeriod: s.timing.largeEventPeriod}
	options := testcluster.Options{
		Program:          program,
		Seed:             seed,
		Processes:        s.processSpecs(),
		ClusterConfigFor: files.forProcess,
	}
	var err error
	if s.cluster, err = testcluster.Start(options); err != nil {
		return nil, err
	}
	if err := s.startHollow(program, files); err != nil {
		return nil, errors.Join(err, s.close())
	}
	return s, nil
}

// processSpecs returns the processes of the cluster: first the control machines, then the real directors.
func (s *scaleRun) processSpecs() (specs []testcluster.ProcessSpec) {
	for _, m := range s.layout.control {
		specs = append(specs, testcluster.ProcessSpec{Name: m.name})
	}
	for _, m := range s.layout.directors[:s.layout.realDirectors] {
		specs = append(specs, testcluster.ProcessSpec{Name: m.name, ServesClients: true})
	}
	return specs
}

// control returns the processes of the control machines.
func (s *scaleRun) control() []*testcluster.Process {
	return s.cluster.Processes[:len(s.layout.control)]
}

// realDirectors returns the processes of the real directors.
func (s *scaleRun) realDirectors() []*testcluster.Process {
	return s.cluster.Processes[len(s.layout.control):]
}

// close ends everything that was started.
func (s *scaleRun) close() error {
	var err error
	if s.hollow != nil {
		err = s.hollow.Close()
	}
	s.cluster.Close()
	return err
}

// run sends the load of clients, injects the faults and collects the measurements. An error means that this was not possible.
func (s *scaleRun) run() error {
	load, err := s.newLoad()
	if err != nil {
		return err
	}
	stop := s.startBackground(load)
	defer stop()
	time.Sleep(s.timing.settle)
	if err := s.awaitSettled("before the first fault"); err != nil {
		return err
	}
	if err := s.measureQuiet(); err != nil {
		return err
	}
	if err := s.injectFaults(); err != nil {
		return err
	}
	if err := s.collect(); err != nil {
		return err
	}
	stop()
	s.finishSamples()
	return nil
}

// newLoad returns the load of clients of the real directors, for as long as a run may take.
func (s *scaleRun) newLoad() (*emulator.Load, error) {
	network, err := topology.Parse("rig", fmt.Appendf(nil, testcluster.SmallTopology, s.layout.realDirectors))
	if err != nil {
		return nil, err
	}
	requests, err := emulator.GenerateRequests(network, clientRate, maxRunTime, s.random.Uint64())
	if err != nil {
		return nil, err
	}
	return s.cluster.Emulator.NewLoad(requests, 0, maxRunTime), nil
}

// startBackground sends the load and takes samples until the returned function is called, which waits until both have ended.
func (s *scaleRun) startBackground(load *emulator.Load) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	s.background.Go(func() {
		tally := load.Run(ctx, nil).Tally(-1)
		s.result.ClientRequests, s.result.ClientRequestsMet = tally.Requests, tally.Met
	})
	s.background.Go(s.sampleUntilStopped)
	return sync.OnceFunc(func() {
		cancel()
		close(s.stop)
		s.background.Wait()
	})
}

// measureQuiet measures the phase before the first fault, and the bytes of headers relative to those of frames during it.
func (s *scaleRun) measureQuiet() error {
	from, err := hollow.ReadUsage(s.hollow.PID())
	if err != nil {
		return err
	}
	s.beginPhase(phase{Quiet: true}, "quiet")
	s.quiet.Store(true)
	time.Sleep(s.timing.quiet)
	s.quiet.Store(false)
	until, err := hollow.ReadUsage(s.hollow.PID())
	if err != nil {
		return err
	}
	s.result.HeaderShare = headerShare(&from, &until)
	return nil
}

// injectFaults injects each fault once, in random order, and waits after each until the cluster has settled. A cluster that
// does not settle is a violation and not an error, as the scenario exists to detect it.
func (s *scaleRun) injectFaults() error {
	faults := []func() error{s.killLeader, s.cutOffRegion, s.dropAllLinks, s.pauseControl}
	s.random.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	for _, inject := range faults {
		if err := inject(); err != nil {
			return err
		}
		if err := s.awaitSettled("after a fault"); err != nil {
			s.addViolation(err)
		}
	}
	return nil
}

// addViolation adds an error to the violations of the result.
func (s *scaleRun) addViolation(err error) {
	s.result.Violations = append(s.result.Violations, err.Error())
}

// beginPhase begins another phase of the run. Latencies are measured separately for each phase.
func (s *scaleRun) beginPhase(p phase, name string) {
	if err := s.hollow.BeginWindow(name); err != nil {
		s.addViolation(err)
		return
	}
	p.Name = name
	s.phases = append(s.phases, p)
	s.cluster.AddEvent("play", name)
}

// awaitSettled waits until every job has exactly one owner and has run again, and every director has two links.
func (s *scaleRun) awaitSettled(when string) error {
	from := s.cluster.Now()
	condition := "every job has one owner and every director has two links " + when
	_, err := s.cluster.Await(condition, maxTakeover+settleAllowance, func() bool {
		jobs, _, unique := countOwners(s.cluster)
		return unique && jobs == scaleJobs && s.cluster.Counter.AllRanSince(callJobNames(), from) && s.allLinked()
	})
	return err
}

// allLinked reports whether every hollow director has at least two links up, and receives events on one of them. A director
// has three links while it moves to a better one.
func (s *scaleRun) allLinked() bool {
	report, err := s.hollow.Report(1)
	if err != nil {
		return false
	}
	tooFewLinks := report.NodesByLinks[0] + report.NodesByLinks[1]
	withoutUplink := report.DirectorsByUplink[""]
	return tooFewLinks == 0 && withoutUplink == 0
}
