package main

import "time"

// hiddenGroup plays a bad client that asks for objects without their group, before the usual clients do. Then the group is purged.
func hiddenGroup(s *stage) (broken []string, err error) {
	if err := s.setUp(4, nil); err != nil {
		return nil, err
	}
	if s.trouble {
		bad, err := connect(s.record, "bad", s.director.address)
		if err != nil {
			return nil, err
		}
		for i := range purgedObjects {
			bad.send(clip(objectID(i), "0", ""))
		}
		time.Sleep(500 * time.Millisecond)
		bad.close()
	}
	stop := make(chan struct{})
	calls := make(chan []*call)
	go func() { calls <- s.load(4, 25*time.Millisecond, stop, groupClips) }()
	time.Sleep(4 * time.Second)
	stamp := s.tellPurge()
	limit := time.Now().Add(purgeGrace + slack)
	time.Sleep(purgeDone - 500*time.Millisecond)
	s.dropOlder(stamp)
	time.Sleep(2 * time.Second)
	close(stop)
	return s.oldCopies(<-calls, stamp, limit)
}
