package service

import (
	"runtime/debug"
	"strings"
)

// Version returns the versions of the program and of Go, and the revision of the sources if the build recorded them.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "indigochute (unknown)"
	}
	parts := []string{"indigochute", info.Main.Version, info.GoVersion}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			parts = append(parts, setting.Value)
		}
	}
	return strings.Join(parts, " ")
}
