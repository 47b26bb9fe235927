package main

import (
	"errors"
	"flag"
	"strings"
)

// parseInterspersed parses flags that follow or stand between positional arguments and returns the positional
// arguments.
func parseInterspersed(flags *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for len(args) > 0 {
		if isFlag(args[0]) {
			if err := flags.Parse(args); err != nil {
				return nil, asUsageError(err)
			}
			args = flags.Args()
			continue
		}
		positional = append(positional, args[0])
		args = args[1:]
	}
	return positional, nil
}

// moveFlagsFirst moves the named flags in front of all other arguments, so that they may stand anywhere. Each named
// flag takes a value, which moves with it.
func moveFlagsFirst(args []string, names map[string]bool) []string {
	var moved, rest []string
	for i := 0; i < len(args); i++ {
		name, _, hasValue := strings.Cut(strings.TrimLeft(args[i], "-"), "=")
		if !isFlag(args[i]) || !names[name] {
			rest = append(rest, args[i])
			continue
		}
		moved = append(moved, args[i])
		if !hasValue && i+1 < len(args) {
			i++
			moved = append(moved, args[i])
		}
	}
	return append(moved, rest...)
}

// globalFlagNames returns the names of the flags that all commands share. Each takes a value.
func globalFlagNames() map[string]bool {
	flags := flag.NewFlagSet("", flag.ContinueOnError)
	new(options).registerGlobal(flags)
	names := make(map[string]bool)
	flags.VisitAll(func(f *flag.Flag) { names[f.Name] = true })
	return names
}

func isFlag(arg string) bool { return len(arg) > 1 && arg[0] == '-' }

func asUsageError(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	return usagef("%v", err)
}
