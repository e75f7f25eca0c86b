package emulator

// This file holds the helpers that the tests share: a small fleet, and a fake director whose responses a test chooses.

import (
	"bufio"
	"net"
	"testing"

	"indigochute.example/indigochute/internal/msgpack"
	"indigochute.example/indigochute/internal/testing/loopback"
	"indigochute.example/indigochute/internal/topology"
)

// fleetText describes the fleet of the tests: three caches, two parents and an origin in one zone with one director.
const fleetText = `
name: test
zones: [{name: west, link: 2MB/s, directors: 1}]
kinds: [{name: std, cores: 2, pace: 400KB/s, slots: 16, room: 8, memory: 1MB, number: {west: 3}}]
parents: [{name: mid, zone: west, number: 2, link: 2MB/s, fetches: 20, memory: 4MB}]
origin: {link: 2MB/s, latency: 5ms, fetches: 40}
flow: 400KB/s
vhosts:
  - {name: page, aim: 500ms, timeout: 2s, effect: replayable, sizes: {least: 1KB, most: 4KB}, demand: {share: 90%, objects: 80, skew: 1}}
  - {name: order, aim: 500ms, timeout: 2s, effect: non-replayable, write: true, sizes: {least: 200B, most: 200B}, demand: {share: 10%, objects: 50}}
cold: {floor: 20%, ramp: 3s, multiple: 3, window: 1s}
parentCold: {floor: 20%, ramp: 3s, multiple: 3, window: 1s}
clients: {retries: 1, after: 200ms}
`

// The request classes of fleetText.
const (
	pageClass  = 0
	orderClass = 1
)

// startFleet starts the fleet that fleetText describes. It ends with the test.
func startFleet(t *testing.T) (*Fleet, *topology.Topology) {
	t.Helper()
	description, err := topology.Parse("test", []byte(fleetText))
	if err != nil {
		t.Fatal(err)
	}
	fleet, err := Start(description, Options{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	return fleet, description
}

// addFakeDirector adds a director to the fleet that answers each request with the bytes that respond returns.
func addFakeDirector(t *testing.T, fleet *Fleet, respond func(request *msgpack.Message) []byte) {
	t.Helper()
	addr := loopback.Serve(t, func(conn net.Conn) {
		reader := msgpack.NewReader(bufio.NewReader(conn))
		for {
			request, err := reader.Read()
			if err != nil {
				return
			}
			conn.Write(respond(&request))
		}
	})
	instance := &directorInstance{addr: addr, cancel: func() {}, done: make(chan error, 1)}
	instance.done <- nil
	fleet.directors = append(fleet.directors, instance)
}

// success returns a response with a body, as a director sends it.
func success(id uint32, body []byte) []byte {
	head, middle, tail := msgpack.Success(id, body, false)
	return append(append(head, middle...), tail...)
}
