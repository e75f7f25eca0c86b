package testcluster

// This file exports the path of the program to the external tests of the package.

import "testing"

// Program is the path of the program that TestMain built.
func Program(*testing.T) string { return program }
