package main

import (
	"fmt"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/cluster"
	"indigochute.example/indigochute/internal/clusterconfig"
	"indigochute.example/indigochute/internal/director"
)

// clusterNode is this process's membership in a cluster: it either runs periodic jobs or follows the control machines.
type clusterNode interface {
	Reload(*clusterconfig.File) error // replaces its configuration
	Leave()
	Close()
}

// clusterMember is a clusterNode together with the operator file that configures it. It implements service.Member.
type clusterMember struct {
	clusterNode
	path string // path of the operator file
	name string // name of this director or control machine in the file
	log  *logrus.Entry
}

// joinCluster reads the operator file and joins the cluster. If the file lists the name as a director, the process follows the control
// machines; otherwise it runs periodic jobs. Errors name the file.
func joinCluster(path, name string, served *director.Director, log *logrus.Entry) (*clusterMember, error) {
	file, err := clusterconfig.Read(path, name)
	if err != nil {
		return nil, err
	}
	debug.FreeOSMemory() // reading a file with a thousand periodic jobs takes about 70 MB, which is not needed afterwards
	member := &clusterMember{path: path, name: name, log: log}
	if file.Role(name) == clusterconfig.Director {
		member.clusterNode, err = cluster.Follow(file, name, served, log, cluster.FollowerOptions{})
	} else {
		member.clusterNode, err = cluster.Start(file, name, served, log)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return member, nil
}

// Reload reads the operator file again and applies it. If the file cannot be read or the change cannot be applied, Reload logs the error
// and the current configuration stays in force.
func (m *clusterMember) Reload() {
	file, err := clusterconfig.Read(m.path, m.name)
	if err == nil {
		err = m.clusterNode.Reload(file)
	}
	debug.FreeOSMemory()
	if err != nil {
		m.log.WithError(err).Error("operator file not reloaded; the previous configuration stays in force")
	}
}
