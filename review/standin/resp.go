package main

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// This file has the part of RESP that a cache node needs.

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	count, err := readLength(in, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, count)
	for i := range words {
		length, err := readLength(in, '$')
		if err != nil {
			return nil, err
		}
		raw := make([]byte, length+2) // with the end of the line
		if _, err := io.ReadFull(in, raw); err != nil {
			return nil, err
		}
		words[i] = string(raw[:length])
	}
	return words, nil
}

// readLength reads a line with a prefix and a length.
func readLength(in *bufio.Reader, prefix byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != prefix {
		return 0, errUnreadable
	}
	length, err := strconv.Atoi(line[1:])
	if err != nil || length < 0 || length > 1<<20 {
		return 0, errUnreadable
	}
	return length, nil
}

// parseFields returns the fields of a command.
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	if text == "-" {
		return fields
	}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		fields[name] = value
	}
	return fields
}

// response returns the four words of an answer as RESP.
func response(words ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return []byte(b.String())
}
