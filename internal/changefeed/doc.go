// Package changefeed carries events from control machines to all other control machines and to directors. Each control
// machine publishes numbered events. Every control machine stores the events that are neither superseded nor expired. A
// director reads them from any one control machine, and resumes at any other one from the position that it has reached. The
// package also decides which control machines a director keeps links to (LinkSelector). It does no I/O, starts no goroutine
// and reads no clock. The caller passes in messages and times, and carries out what the methods return.
//
// The origin of an event is the control machine that published it. The origin numbers its events within an epoch, which is
// one incarnation of the origin. A newer event of the same origin and key supersedes an older one, and an event expires after
// its lifetime. The store is therefore a compacted log. It serves subscribers that are nearly up to date as well as those that
// start without any events.
//
// Each event is sent with Prev, the lowest position at which a reader may accept it: all events between Prev and the event
// were superseded or have expired at the sender. A reader whose position is below Prev has a gap. It does not accept the event,
// and requests events again from its position. So within an origin and epoch a reader accepts events in order, and none twice.
// It misses only events that were superseded, have expired, or are marked as lost (Event.LostUpTo).
//
// Events of different origins are not ordered. Several origins may publish under one key, as the successive holders of a lease
// do. Then the fencing number decides which event is newer: a reader discards an event of an earlier holder once it has accepted
// one of a later holder.
//
// A control machine keeps no state across a restart. It begins a new epoch with an empty log, and fetches events from the
// others. The last events that it published before are lost if no other control machine had received them.
package changefeed
