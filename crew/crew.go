// Package crew joins a director to the others of its installation, where the operator file says that they talk: it carries
// the messages of package duty over package peer, runs the duties that this instance owns, and hands what is learnt to
// the director. Nothing of it is linked into the platform's program.
package crew

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/director"
	"indigochute.example/indigochute/duty"
	"indigochute.example/indigochute/operator"
	"indigochute.example/indigochute/peer"
)

// Served is the director that takes part.
type Served interface {
	Machines() []director.Machine
	Look(m director.Machine, within time.Duration, vhost, obj string) (alive, asked bool)
	Told(id uint32, born int64, alive bool, age time.Duration)
}

const (
	topicDuty   = "duty"
	topicNews   = "news"
	topicStatus = "status"
	ticks       = 10 // of a beat
)

// Crew is one director's part in its installation.
type Crew struct {
	me    string
	d     Served
	log   *logrus.Entry
	bus   *peer.Bus
	start time.Time
	stop  chan struct{}
	all   sync.WaitGroup

	mu      sync.Mutex
	f       *operator.File
	node    *duty.Node
	board   *duty.Board
	tasks   map[string]*task
	closing bool
	told    Told
	role    string // as logged last
}

// Told counts what was heard of machines.
type Told struct {
	Silent  int `json:"silent"` // reports of silence that counted,
	Alive   int `json:"alive"`  // and of life
	Passed  int `json:"passed"` // reports that were older than what was known
	Doubted int `json:"doubted"`
}

// Start joins a director to the others. It listens at the address that the file gives for it.
func Start(f *operator.File, me string, d Served, log *logrus.Entry) (*Crew, error) {
	c := &Crew{me: me, d: d, log: log, f: f, start: time.Now(), stop: make(chan struct{}), board: duty.NewBoard(), tasks: map[string]*task{}}
	born := uint64(c.start.UnixMilli())
	conf := duty.Config{Me: me, All: f.Names(), Lease: f.Lease.D(), Beat: f.Beat.D(), Drift: float64(f.Drift), Duties: f.List(), Seed: born, Born: born}
	if err := conf.Check(); err != nil {
		return nil, err
	}
	c.node = duty.New(conf, c.now())
	bus, err := peer.Open(peer.Options{Me: me, Listen: f.Address(me), Peers: f.Others(me), Log: log,
		Heard:   map[string]func(peer.From, []byte){topicDuty: c.heard, topicNews: c.news},
		Answers: peer.Answers{topicStatus: c.answer}})
	if err != nil {
		return nil, fmt.Errorf("the address for other directors: %w", err)
	}
	c.bus = bus
	log.WithFields(logrus.Fields{"listen": bus.Addr(), "instances": len(f.Instances), "duties": len(f.Duties), "silent_for": c.node.Mute()}).Info("talking with other directors")
	each := f.Beat.D() / ticks
	c.all.Go(func() { c.run(each) })
	return c, nil
}

// now is this instance's clock for duties.
func (c *Crew) now() time.Duration {
	return time.Duration(float64(time.Since(c.start)) * c.f.Try.Clock)
}

// Reload takes another operator file. What holds from the start on must be as it was, or nothing is taken.
func (c *Crew) Reload(f *operator.File) error {
	c.mu.Lock()
	if differ := f.Lasting(c.f, c.me); len(differ) > 0 {
		c.mu.Unlock()
		return fmt.Errorf("%s: another value takes effect at a start only; nothing of the file was taken", strings.Join(differ, ", "))
	}
	c.f = f
	c.node.SetDuties(f.List())
	c.mu.Unlock()
	c.bus.List(f.Others(c.me))
	c.log.WithField("duties", len(f.Duties)).Info("operator file read again")
	return nil
}

// run lets time pass for the core until the crew ends.
func (c *Crew) run(each time.Duration) {
	beat := time.NewTicker(each)
	defer beat.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-beat.C:
			c.tick()
		}
	}
}

func (c *Crew) tick() {
	c.mu.Lock()
	now := c.now()
	out := c.node.Tick(now)
	due := c.node.Due(now)
	for _, t := range c.tasks { // a run whose lease has gone, or whose time is over, is told so
		t.check(c, now)
	}
	for _, o := range due {
		c.begin(now, o)
	}
	c.noteRole(now)
	c.mu.Unlock()
	c.send(out)
}

// noteRole logs when this instance becomes the keeper or ceases to be.
func (c *Crew) noteRole(now time.Duration) {
	role := "member"
	if c.node.Keeper(now) {
		role = "keeper"
	}
	if role != c.role {
		if c.role != "" || role == "keeper" {
			c.log.WithField("role", role).Info("duties")
		}
		c.role = role
	}
}

// heard takes a message of the core.
func (c *Crew) heard(from peer.From, payload []byte) {
	m, err := duty.Parse(payload)
	if err != nil {
		c.log.WithError(err).WithField("peer", from.Name).Warn("duties: a message that cannot be read")
		return
	}
	m.From, m.To = from.Name, c.me
	c.mu.Lock()
	out := c.node.Receive(c.now(), m)
	c.mu.Unlock()
	c.send(out)
}

func (c *Crew) send(out []duty.Message) {
	for i := range out {
		c.bus.Send(out[i].To, topicDuty, duty.Append(nil, &out[i]))
	}
}

// news takes what another director has seen of machines.
func (c *Crew) news(from peer.From, payload []byte) {
	n, err := duty.ParseNews(payload)
	if err != nil {
		c.log.WithError(err).WithField("peer", from.Name).Warn("probing: a message that cannot be read")
		return
	}
	c.learn(&n)
}

// learn hands over to the director what counts of the news.
func (c *Crew) learn(n *duty.News) {
	c.mu.Lock()
	count := c.board.Take(c.now(), n)
	c.told.Passed += len(n.Reports) - len(count)
	for _, r := range count {
		if r.Alive {
			c.told.Alive++
		} else {
			c.told.Silent++
		}
	}
	c.mu.Unlock()
	for _, r := range count {
		c.d.Told(r.Node, r.Born, r.Alive, r.Age)
	}
}

// Leave hands duties over to the others, waits until that is done, though no longer than a lease, and ends.
func (c *Crew) Leave() {
	c.mu.Lock()
	c.node.Leave()
	until := time.Now().Add(c.f.Lease.D())
	c.mu.Unlock()
	for gone := false; !gone && time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		c.tick()
		c.mu.Lock()
		gone = c.node.Gone(c.now())
		c.mu.Unlock()
	}
	c.log.Info("duties: handed over")
	time.Sleep(50 * time.Millisecond) // for the last messages to leave
	c.Close()
}

// Close ends all without a word to the others: leases run out.
func (c *Crew) Close() {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return
	}
	c.closing = true
	for _, t := range c.tasks {
		t.cancelAll()
	}
	c.mu.Unlock()
	close(c.stop)
	c.bus.Close()
	c.all.Wait()
}

// duty finds one in the file in force. Called under the lock.
func (c *Crew) duty(name string) *operator.Duty {
	at := slices.IndexFunc(c.f.Duties, func(d operator.Duty) bool { return d.Name == name })
	if at < 0 {
		return nil
	}
	return &c.f.Duties[at]
}
