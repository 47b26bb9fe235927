package main

import "time"

// The cases run on the real clock, whose functions only this file calls.

func now() time.Time { return time.Now() } //nolint:forbidigo // the real clock

func since(t time.Time) time.Duration { return now().Sub(t) }

func sleep(d time.Duration) { time.Sleep(d) } //nolint:forbidigo // the real clock

func after(d time.Duration) <-chan time.Time { return time.After(d) } //nolint:forbidigo // the real clock
