package emulator

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/resp"
)

// A machine that is killed resets its connections and refuses new ones. Once it is started again it listens at the same address.
func TestKilledMachineResetsConnections(t *testing.T) {
	fleet, _ := startFleet(t)
	server := fleet.servers[fleet.Machines()[0].ID]
	conn, err := net.Dial("tcp", server.addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write([]byte("*2\r\n$4\r\nPING\r\n$1\r\nx\r\n"))
	response, err := resp.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.Status != resp.Pong || response.ID != "x" {
		t.Errorf("response to a health check: got %+v, %v, want a pong with ID x", response, err)
	}

	fleet.Kill(server.machine.ID)
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err == nil || err == io.EOF {
		t.Errorf("an open connection of a killed machine ended with %v, want a reset", err)
	}
	if _, err := net.DialTimeout("tcp", server.addr.String(), time.Second); err == nil {
		t.Error("a killed machine accepts connections")
	}

	fleet.Boot(server.machine.ID)
	reopened, err := net.DialTimeout("tcp", server.addr.String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	reopened.Close()
}

// Bytes that are not a command end the connection that sent them, without a response. The machine goes on accepting.
func TestInvalidCommandClosesConnection(t *testing.T) {
	fleet, _ := startFleet(t)
	addr := fleet.servers[fleet.Machines()[0].ID].addr.String()
	for _, invalid := range []string{"*9\r\n", "GET\r\n", "*4\r\n$3\r\nGET\r\n$99999999\r\n", "*2\r\n$4\r\nDANC\r\n$1\r\nx\r\n"} {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(2 * time.Second))
		conn.Write([]byte(invalid))
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Errorf("got a response to the invalid command %q, want none", invalid)
		}
		conn.Close()
	}
}

// A closed fleet no longer listens, even if a machine is started afterwards.
func TestBootAfterCloseDoesNotListen(t *testing.T) {
	fleet, _ := startFleet(t)
	server := fleet.servers[fleet.Machines()[0].ID]
	fleet.Kill(server.machine.ID)
	fleet.Close()
	fleet.Boot(server.machine.ID)
	if conn, err := net.DialTimeout("tcp", server.addr.String(), time.Second); err == nil {
		conn.Close()
		t.Error("a machine of a closed fleet accepts connections")
	}
}
