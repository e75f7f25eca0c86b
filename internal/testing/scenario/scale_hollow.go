package scenario

// This file starts the hollow directors of the scenario "scale" in a process of their own.

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"indigochute.example/indigochute/internal/testing/hollow"
)

// startHollow starts the hollow directors and waits until all of them have their links.
func (s *scaleRun) startHollow(program string, files *configWriter) error {
	dir, err := os.MkdirTemp("", "scale")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir) // the process reads its files only at its start
	spec, err := s.hollowSpec(dir, files)
	if err != nil {
		return err
	}
	if s.hollow, err = hollow.Start(program, *spec, 0); err != nil {
		return err
	}
	s.cluster.AddEvent("play", fmt.Sprintf("%d hollow directors in process %d", s.result.HollowDirectors, s.hollow.PID()))
	took, err := s.cluster.Await("two links of every director", maxLinkTime, s.allLinked)
	if err != nil {
		return fmt.Errorf("%w\n%s", err, strings.Join(s.diagnostics(), "\n"))
	}
	s.cluster.AddEvent("play", fmt.Sprintf("all directors have two links after %.1f s", took.Seconds()))
	return nil
}

// hollowSpec returns the spec of the hollow directors. It writes one cluster configuration file for each of their regions.
func (s *scaleRun) hollowSpec(dir string, files *configWriter) (*hollow.Spec, error) {
	spec := &hollow.Spec{Address: "127.0.0.1:0"}
	paths := map[int]string{}
	for _, m := range s.layout.hollowDirectors() {
		region := m.location.region
		if paths[region] == "" {
			text, err := files.forRegion(region)
			if err != nil {
				return nil, err
			}
			path := filepath.Join(dir, fmt.Sprintf("r%d.yaml", region))
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				return nil, err
			}
			paths[region] = path
		}
		spec.Nodes = append(spec.Nodes, hollow.NodeSpec{Name: m.name, ConfigFile: paths[region]})
	}
	return spec, nil
}
