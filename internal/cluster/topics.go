package cluster

// The topics of messages and the keys of events.

import "indigochute.example/indigochute/internal/clusterconfig"

// Topics of messages. They are sent on the wire and must not change.
const (
	topicLease     = "duty"   // between instances: lease.Message; see leaseTopicFor
	topicHealth    = "news"   // between directors without control machines: lease.HealthReport
	topicStatus    = "status" // a query for the status of an instance
	topicFeed      = "stream" // between control machines: changefeed.Message
	topicLists     = "lists"  // between control machines: the digest of the list of control machines
	topicSubscribe = "from"   // from a director: the changefeed.Vector of the events that it has, which subscribes to later ones
	topicEvents    = "notes"  // to a director: a batch of changefeed.Event
	topicLeader    = "kept"   // to a director: whether a majority of the control machines follows a leader
)

// Prefixes of the keys of events. They are sent on the wire and must not change.
const (
	keyHealth = "news/" // followed by the job: lease.HealthReport
	keyEvent  = "note/" // followed by the job: an event of a test job
)

// leaseTopicFor returns the topic of lease messages. Between control machines it contains the hash of their list, so that machines
// with different lists do not accept each other's messages. That would be unsafe, as majorities of two different lists need not
// overlap.
func leaseTopicFor(file *clusterconfig.File) string {
	if len(file.Control) == 0 {
		return topicLease
	}
	return topicLease + "/" + file.MembershipHash()
}
