package emulator

// This file serves one connection of a director to a machine: it reads commands, submits requests to the world and writes
// the responses.

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strconv"

	"indigochute.example/indigochute/internal/discovery"
	"indigochute.example/indigochute/internal/resp"
	"indigochute.example/indigochute/internal/simulation"
	"indigochute.example/indigochute/internal/topology"
)

// maxQueuedResponses is how many responses may wait to be written on one connection. A director that leaves
// more of them unread is disconnected.
const maxQueuedResponses = 1024

// directorConn is a director's connection to a machine.
type directorConn struct {
	server   *machineServer
	socket   net.Conn
	outgoing chan []byte // closed after the last command was read

	// The fleet's lock guards the fields below.
	pending map[string]uint64 // the world's ID of each pending request, by its ID on the connection
	closed  bool
}

// pendingRequest is a request that a machine of the world is working on.
type pendingRequest struct {
	conn      *directorConn
	requestID string
	class     int
	object    uint64
	part      uint32
}

func newDirectorConn(server *machineServer, socket net.Conn) *directorConn {
	return &directorConn{server: server, socket: socket, outgoing: make(chan []byte, maxQueuedResponses), pending: map[string]uint64{}}
}

// readCommands handles commands until the connection ends or a read returns something that is not a command.
func (c *directorConn) readCommands() {
	reader := bufio.NewReader(c.socket)
	for {
		command, err := resp.ReadCommand(reader)
		if err != nil {
			break
		}
		switch {
		case command.HealthCheck:
			c.server.healthChecks.Add(1)
			c.send(&resp.Response{ID: command.ID, Status: resp.Pong})
		case command.Cancel:
			c.cancel(command.ID)
		default:
			c.submit(&command)
		}
	}
	c.socket.Close()
	c.server.forget(c)
	c.cancelAll()
}

// cancel cancels a pending request. It does nothing if the request has ended already.
func (c *directorConn) cancel(requestID string) {
	c.server.fleet.update(func(world *simulation.World) {
		if id, ok := c.pending[requestID]; ok {
			delete(c.pending, requestID)
			delete(c.server.fleet.pending, id)
			world.Cancel(c.server.machine.ID, id)
		}
	})
}

// cancelAll ends the connection: it cancels all pending requests and ends the writer.
func (c *directorConn) cancelAll() {
	c.server.fleet.update(func(world *simulation.World) {
		for _, id := range c.pending {
			delete(c.server.fleet.pending, id)
			world.Cancel(c.server.machine.ID, id)
		}
		c.pending = map[string]uint64{}
		c.closed = true
		close(c.outgoing)
	})
}

// submit passes a request to the machine. A command that cannot be translated is a violation, and the request fails.
func (c *directorConn) submit(command *resp.Command) {
	fleet, machineID := c.server.fleet, c.server.machine.ID
	c.server.requests.Add(1)
	request, err := fleet.simulationRequest(command)
	if err != nil {
		fleet.rules.violated("a cache received a request with an invalid vhost %q or object %q", command.Class, command.Object)
		c.send(&resp.Response{ID: command.ID, Status: resp.Failed})
		return
	}
	fleet.rules.attemptReceived(machineID, request.FillSource, command.ID, request.Class)
	fleet.update(func(world *simulation.World) {
		fleet.lastID++
		request.ID = fleet.lastID
		c.pending[command.ID] = request.ID
		fleet.pending[request.ID] = &pendingRequest{
			conn:      c,
			requestID: command.ID,
			class:     request.Class,
			object:    request.Object,
			part:      request.Part,
		}
		world.Submit(machineID, request)
	})
}

// simulationRequest translates a command into a request, without setting its ID. It returns an error if the object is not a number or
// the class is unknown. An unknown source is recorded as a violation.
func (f *Fleet) simulationRequest(command *resp.Command) (simulation.Request, error) {
	object, err := strconv.ParseUint(command.Object, 16, 64)
	if err != nil {
		return simulation.Request{}, err
	}
	class := slices.IndexFunc(f.description.Classes, func(class topology.RequestClass) bool { return class.Name == command.Class })
	if class < 0 {
		return simulation.Request{}, fmt.Errorf("unknown request class %q", command.Class)
	}
	number, _ := strconv.ParseUint(command.Part, 10, 32)
	part := uint32(number)
	request := simulation.Request{
		Class:        class,
		Object:       object,
		Part:         part,
		Bytes:        f.options.BodySize(class, object, part),
		Rank:         command.Order.CachePriority,
		MaxAge:       command.Order.MaxAge,
		OnlyIfCached: command.Order.OnlyIfCached,
		Revalidate:   command.Order.Revalidate,
	}
	if command.Source != "" {
		request.FillSource, err = discovery.ParseID(command.Source)
		if err != nil || f.servers[request.FillSource] == nil {
			f.rules.violated("a cache received a request with an unknown fill source %q", command.Source)
		}
	}
	return request, nil
}

// respond sends the outcome of a request. It sends nothing if the machine failed, as its connections are reset then. The
// caller holds the fleet's lock.
func (c *directorConn) respond(request *pendingRequest, outcome simulation.Response) {
	fleet := c.server.fleet
	delete(c.pending, request.requestID)
	response := resp.Response{ID: request.requestID, Fill: outcome.Fill, Waited: outcome.Waited}
	switch outcome.Status {
	case simulation.Served:
		response.Status, response.Fetched = resp.Hit, fleet.unixMilli(outcome.Born)
		size := fleet.options.BodySize(request.class, request.object, request.part)
		response.Body = newBody(bodyHeader{request.object, request.part, response.Fetched}, size)
	case simulation.Missing:
		response.Status = resp.Miss
	case simulation.Rejected:
		response.Status = resp.Rejected
	case simulation.Failed:
		response.Status = resp.Failed
	case simulation.Lost:
		return
	}
	c.queue(&response)
}

// send queues a response under the fleet's lock.
func (c *directorConn) send(response *resp.Response) {
	c.server.fleet.mu.Lock()
	defer c.server.fleet.mu.Unlock()
	c.queue(response)
}

// queue queues a response. It disconnects the director if maxQueuedResponses wait already. The caller holds the fleet's
// lock.
func (c *directorConn) queue(response *resp.Response) {
	if c.closed {
		return
	}
	select {
	case c.outgoing <- resp.AppendResponse(nil, response):
	default:
		c.socket.Close()
	}
}

// writeResponses writes queued responses until the queue is closed.
func (c *directorConn) writeResponses() {
	for message := range c.outgoing {
		if _, err := c.socket.Write(message); err != nil {
			c.socket.Close()
			break
		}
	}
	for range c.outgoing { // discard what can no longer be written
	}
}
