// Package compat has tests and no other code. They compare everything that leaves a process (messages, files, output of commands) with
// golden files, byte for byte. A difference of one byte fails a test. So renaming packages and identifiers cannot change anything that
// other programs read or that is stored in files.
//
// The golden files under testdata were written by a build from before packages and identifiers were renamed. This rewrites them:
//
//	go test ./internal/compat -update
//
// Rewrite them only for a change that is intended and announced.
package compat
