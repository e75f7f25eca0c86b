package testcluster

// This file writes the configuration files of processes. The files list other processes with the addresses of fault proxy
// links.

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// configMode is the file mode of all configuration files.
const configMode = 0o600

// path returns the path of the process's file with the given suffix.
func (p *Process) path(suffix string) string { return filepath.Join(p.cluster.dir, p.Name+suffix) }

func (p *Process) clusterConfigPath() string { return p.path(".yaml") }

// writeClusterConfig writes the cluster configuration file, unless Options.NoClusterConfig is set.
func (p *Process) writeClusterConfig() error {
	options := &p.cluster.options
	if options.NoClusterConfig {
		return nil
	}
	clusterConfig := p.clusterConfig
	if options.ClusterConfigFor != nil {
		clusterConfig = func() (string, error) { return options.ClusterConfigFor(p.cluster, p) }
	}
	text, err := clusterConfig()
	if err != nil {
		return err
	}
	return os.WriteFile(p.clusterConfigPath(), []byte(text), configMode)
}

// clusterConfig returns the default text of the cluster configuration file: the list of instances, Options.ClusterConfig and
// the rate of the lease clock.
func (p *Process) clusterConfig() (string, error) {
	options := &p.cluster.options
	var text strings.Builder
	text.WriteString("instances:\n")
	for _, member := range p.cluster.Processes {
		if member != p && options.SingleMember {
			continue
		}
		address, err := p.addressOf(member)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&text, "  - {name: %s, address: %q}\n", member.Name, address)
	}
	counter, err := p.cluster.Network.AddLink(p.counterLink(), p.cluster.Counter.Addr())
	if err != nil {
		return "", err
	}
	text.WriteString(strings.ReplaceAll(options.ClusterConfig, "COUNTER", counter.Addr()))
	if p.index < len(options.ClockRates) {
		fmt.Fprintf(&text, "try: {clock: %g}\n", options.ClockRates[p.index])
	}
	return text.String(), nil
}

// addressOf returns the address of a member for the file of this process: the listen address for the process itself, and the
// address of a new link for any other process.
func (p *Process) addressOf(member *Process) (string, error) {
	if member == p {
		return p.PeerAddress, nil
	}
	link, err := p.cluster.Network.AddLink(p.Name+">"+member.Name, member.PeerAddress)
	if err != nil {
		return "", err
	}
	return link.Addr(), nil
}

// counterLink returns the name of the link over which the process calls the counter.
func (p *Process) counterLink() string { return p.Name + ">counter" }

// EditClusterConfig replaces the text of the cluster configuration file by the result of change, and sends SIGHUP so that the
// process reloads the file.
func (p *Process) EditClusterConfig(change func(old string) string) error {
	old, err := os.ReadFile(p.clusterConfigPath())
	if err != nil {
		return err
	}
	replacement := p.path(".new")
	if err := os.WriteFile(replacement, []byte(change(string(old))), configMode); err != nil {
		return err
	}
	if err := os.Rename(replacement, p.clusterConfigPath()); err != nil {
		return err
	}
	return p.signal(syscall.SIGHUP, "reloading its configuration")
}

// writeConfig writes the configuration file to which ROUTER_CONFIG points, and returns its path.
func (p *Process) writeConfig() (path string, err error) {
	raw, err := p.cluster.Emulator.NamedDirectorConfig(p.Name, 0, p.directorIndex, p.ClientAddress.String())
	if err != nil {
		return "", err
	}
	path = p.path(".json")
	return path, os.WriteFile(path, raw, configMode)
}
