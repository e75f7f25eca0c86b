package director

import "time"

// This file slows down clients whose messages lead to no success, so that they do not use the processor time of others, however many
// connections they have. Useless messages are those that are invalid or over a bound. Messages without success are all messages since
// the last success.

const (
	// A client that has had a success is slowed down after so many messages without another one; a client within its bounds may
	// have as many in flight, and may cancel them. One that never had a success is slowed down earlier, since new connections
	// cost a faulty client nothing.
	freeMessages         = 64
	freeMessagesUnproven = 4
	freeUselessMessages  = 4
	// More than maxUselessInRow useless messages in a row end the connection.
	maxUselessInRow = 400
	uselessPause    = time.Millisecond // shortest pause after a useless message beyond freeUselessMessages

	messageShare    = 0.4                    // of the processor, for messages without success
	connectionShare = 0.3                    // of the processor, for connections that end without a success
	messageCost     = 50 * time.Microsecond  // to read, handle and answer a message
	connectionCost  = 150 * time.Microsecond // to accept and close a connection
	discardCost     = 10 * time.Microsecond  // to read discardBuffer bytes
	byteCost        = 10 * time.Nanosecond   // to decode a byte
	maxAcceptPause  = 10 * time.Millisecond  // longest pause before a connection is accepted
)

// paceMessage is called after each message. It waits if the client is slowed down. It returns an error after too many useless
// messages in a row.
func (c *clientConn) paceMessage() error {
	free := int32(freeMessagesUnproven)
	if c.everServed.Load() {
		free = freeMessages
	}
	useless, withoutSuccess := c.uselessInRow.Load(), c.withoutSuccess.Add(1)
	switch {
	case useless > freeUselessMessages:
		c.pace(messageCost, uselessPause)
	case withoutSuccess > free:
		c.pace(messageCost, 0)
	}
	if useless > maxUselessInRow {
		return errOnlyUselessMessages
	}
	return nil
}

// pace waits until work for this client may cost so much processor time, and for a shortest pause at least. Requests that are pending
// start before a long wait.
func (c *clientConn) pace(cost, shortest time.Duration) {
	wait := max(shortest, c.director.messagePacer.charge(cost))
	if wait > maxPendingWait {
		c.startPendingEarly()
	}
	time.Sleep(wait)
}

// noteSuccess records that a request of the client has succeeded.
func (c *clientConn) noteSuccess() {
	c.everServed.Store(true)
	c.uselessInRow.Store(0)
	c.withoutSuccess.Store(0)
}

// noteUseless records a useless message. A message that is rejected because the director shuts down is not the client's fault.
func (c *clientConn) noteUseless() {
	if !c.director.rejecting.Load() {
		c.uselessInRow.Add(1)
	}
}

// paceNextConnection waits before the next connection is accepted if many connections have ended without a success. It does not wait
// during a shutdown, in which all connections that have arrived must be accepted in a short time.
func (d *Director) paceNextConnection() {
	if !d.shuttingDown.Load() {
		time.Sleep(min(maxAcceptPause, d.connectionPacer.debt()))
	}
}

// chargeConnection charges the connection, and what was read from it at full speed, if it ended without a success.
func (c *clientConn) chargeConnection() {
	if c.everServed.Load() {
		return
	}
	messages := time.Duration(min(freeMessagesUnproven, c.withoutSuccess.Load()))
	bytes := time.Duration(c.bytesRead.Load())
	c.director.connectionPacer.charge(connectionCost + messages*messageCost + bytes*byteCost)
}
