package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const environmentPrefix = "EELGRASSBEAM"

// command describes a command with its arguments, flags and action.
type command struct {
	// name is one word, or a group and a word, separated by a space.
	name        string
	description string
	// arguments lists the names of the positional arguments in order. A name in brackets is optional.
	arguments []string
	// flags lists the command's own flags by their keys in flagRegistrars.
	flags  []string
	action func(ctx context.Context, s *session, args []string) error
}

// commands returns all commands, in the order in which the help lists them.
func commands() []command {
	return []command{
		configGet, configSet, configApply, configDiff,
		exceptionAdd, exceptionList, exceptionRemove,
		drain, undrain,
		status, lookup, decisions, explain, checkConfiguration,
		showVersion,
	}
}

// groups returns the command groups. A group is the first word of its commands' names.
func groups() []command {
	return []command{
		{name: "config", description: "read and change the fleet-wide configuration"},
		{name: "exception", description: "add, list and remove exceptions"},
	}
}

// run executes the command that args name, prints its error and returns the exit status.
func run(ctx context.Context, env environment, args []string) int {
	o := &options{author: env.author}
	root := newRoot(env, o)
	err := root.Parse(moveFlagsFirst(args, globalFlagNames()))
	if err != nil {
		err = asUsageError(err)
	} else {
		err = root.Run(ctx)
	}
	code := exitStatus(err)
	if code != exitOK {
		for _, line := range errorLines(err) {
			_, _ = fmt.Fprintln(env.stderr, "eelgrassbeam: "+line)
		}
	}
	return code
}

func newRoot(env environment, o *options) *ffcli.Command {
	root := newNode(env, "eelgrassbeam", "eelgrassbeam [flags] COMMAND", "steer traffic across availability zones and regions")
	o.registerGlobal(root.FlagSet)
	root.Exec = missingCommandAction("COMMAND")
	nodes := map[string]*ffcli.Command{}
	for _, group := range groups() {
		node := newNode(env, group.name, "eelgrassbeam "+group.name+" COMMAND", group.description)
		node.Exec = missingCommandAction("COMMAND of " + group.name)
		nodes[group.name] = node
		root.Subcommands = append(root.Subcommands, node)
	}
	for _, c := range commands() {
		group, word, isGrouped := strings.Cut(c.name, " ")
		if !isGrouped {
			root.Subcommands = append(root.Subcommands, c.node(env, o, c.name))
			continue
		}
		nodes[group].Subcommands = append(nodes[group].Subcommands, c.node(env, o, word))
	}
	return root
}

func newNode(env environment, name, usage, description string) *ffcli.Command {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(env.stderr)
	return &ffcli.Command{
		Name: name, ShortUsage: usage, ShortHelp: description, FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)},
	}
}

// missingCommandAction returns the action that runs if the arguments name no known command. It returns a usage error.
func missingCommandAction(want string) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return usagef("unknown command %q", args[0])
		}
		return usagef("missing %s; see --help", want)
	}
}

func (c command) node(env environment, o *options, word string) *ffcli.Command {
	usage := strings.Join(append([]string{"eelgrassbeam", c.name}, c.arguments...), " ") + " [flags]"
	node := newNode(env, word, usage, c.description)
	for _, name := range c.flags {
		flagRegistrars[name](o, node.FlagSet, name)
	}
	node.Exec = func(ctx context.Context, args []string) error {
		positional, err := parseInterspersed(node.FlagSet, args)
		if err != nil {
			return err
		}
		return c.run(ctx, env, o, positional)
	}
	return node
}

func (c command) run(ctx context.Context, env environment, o *options, args []string) error {
	if err := errors.Join(o.validate(), c.checkArguments(args)); err != nil {
		return err
	}
	s, err := newSession(env, o)
	if err != nil {
		return err
	}
	defer s.close()
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return c.action(ctx, s, args)
}

func (c command) checkArguments(args []string) error {
	required := 0
	for _, argument := range c.arguments {
		if !strings.HasPrefix(argument, "[") {
			required++
		}
	}
	if len(args) < required || len(args) > len(c.arguments) {
		return usagef("%s: want %s", c.name, strings.Join(append([]string{"arguments:"}, c.arguments...), " "))
	}
	return nil
}
