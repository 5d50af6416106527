package cmd

import (
	"bufio"
	"fmt"
	"os"
	"strings"

	"chervilpath/core/declare"
)

type hashKeyCommand struct{ *program }

func (p *program) newHashKey() subcommand {
	return subcommand{
		name: "hash-key", short: "Print the hash of an organisation's key",
		long: "Reads a key from standard input, so that it does not appear in the process\nlist, and prints its hash for the option keyHashes.\n\nExample:\n  chervilpath hash-key < key.txt",
		data: &hashKeyCommand{p},
	}
}

// Execute implements flags.Commander.
func (c *hashKeyCommand) Execute([]string) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		return &exitError{exitUsage, fmt.Errorf("standard input has no key on its first line: %w", err)}
	}
	_, _ = fmt.Fprintln(c.out, declare.HashKey(key))
	return nil
}
