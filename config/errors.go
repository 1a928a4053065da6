package config

import "errors"

// ErrNoLeader is returned when a command could not be sent to any leader, so that it has no effect.
var ErrNoLeader = errors.New("no leader of the control log can be reached; come back when a majority of voters is up")

// ErrUnconfirmed is returned when a command was sent but not answered, so that it may have taken effect.
var ErrUnconfirmed = errors.New("the control log did not confirm the command; resend it with the same id")
