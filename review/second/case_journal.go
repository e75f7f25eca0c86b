package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// crowdedFor is how long a connection to the crowded journal service waits for its first frame.
	crowdedFor = 2 * time.Second
	// oldServiceClosesAfter is how long after a new configuration the old journal service closes its connections.
	oldServiceClosesAfter = 1500 * time.Millisecond
	// toldAfterReload is how long after SIGHUP all that the journal service has to tell counts as told.
	toldAfterReload = 4 * time.Second
)

// crowdedJournal plays a new configuration that moves the journal service, to which all directors come at once: it is crowded, and
// each connection gets its first frame after crowdedFor, and all further ones in time. Soon after the move a group is purged.
func crowdedJournal(s *stage) (broken []string, err error) {
	if err := s.setUp(4, nil); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	calls := make(chan []*call)
	go func() { calls <- s.load(4, 25*time.Millisecond, stop, groupClips) }()
	time.Sleep(4 * time.Second)
	reloadedAt, err := s.moveJournal()
	if err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	stamp := s.tellPurge()
	time.Sleep(purgeDone - 100*time.Millisecond)
	s.dropOlder(stamp)
	time.Sleep(3 * time.Second)
	close(stop)
	return s.oldCopies(<-calls, stamp, reloadedAt.Add(toldAfterReload+purgeGrace+slack))
}

// moveJournal starts a journal service at another address, puts that address into the director's configuration and sends SIGHUP. It
// returns when that was. The old service takes no new connections from then on, tells nothing more, and closes its connections later.
func (s *stage) moveJournal() (reloadedAt time.Time, err error) {
	former := s.journal
	if s.journal, err = startJournal(s.record); err != nil {
		return time.Time{}, err
	}
	s.journal.events, _ = former.after(0)
	if s.trouble {
		s.journal.firstFrameAfter = crowdedFor
	}
	path := filepath.Join(s.folder, "config.json")
	raw, err := os.ReadFile(path)
	if err != nil {
		return time.Time{}, err
	}
	before, after := former.listener.Addr().String(), s.journal.listener.Addr().String()
	if !bytes.Contains(raw, []byte(before)) {
		return time.Time{}, fmt.Errorf("the configuration does not name the journal service %s", before)
	}
	if err := os.WriteFile(path+".new", bytes.Replace(raw, []byte(before), []byte(after), 1), 0o600); err != nil {
		return time.Time{}, err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return time.Time{}, err
	}
	former.listener.Close()
	s.record.line("SIGHUP: the journal service is at %s now", after)
	reloadedAt = time.Now()
	if err := s.director.command.Process.Signal(syscall.SIGHUP); err != nil {
		return time.Time{}, err
	}
	time.AfterFunc(oldServiceClosesAfter, former.close)
	return reloadedAt, nil
}
