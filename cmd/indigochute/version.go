package main

import "runtime/debug"

// version is what the build recorded of the sources.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "indigochute (unknown)"
	}
	revision := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	return "indigochute " + info.Main.Version + " " + revision + " " + info.GoVersion
}
