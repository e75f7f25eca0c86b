//go:build gapread

package stream

const gapIsRead = true
