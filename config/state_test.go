package config_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/config"
	"github.com/hickoryshelf/hickoryshelf/model"
)

var at = time.Unix(1_000_000, 0)

func declare(id, name string, expect model.Revision) config.Command {
	return config.Command{At: at, Change: &config.Change{ID: id, Expect: expect, Operation: config.DeclareVersion, Version: &model.Version{Name: name}}}
}

func begin(request string) config.Command {
	return config.Command{At: at, Begin: &config.BeginClaim{Customer: "c", Key: "k", Fingerprint: "f", RequestID: request, Host: "h"}}
}

func end(request string, o model.Outcome) config.Command {
	return config.Command{At: at, End: &config.EndClaim{Customer: "c", Key: "k", RequestID: request, Outcome: o}}
}

// TestChanges proves compare-and-set, the same outcome for a resend, and that a withdrawn version stays so.
func TestChanges(t *testing.T) {
	i := is.New(t)
	s, r := config.Apply(config.NewState(), declare("a", "v@1", 0))
	i.Equal(r.Revision, model.Revision(1))
	s, r = config.Apply(s, declare("b", "v@2", 1))
	i.Equal(r.Verdict, config.VerdictCommitted)
	s, r = config.Apply(s, declare("c", "v@3", 1))
	i.Equal(r.Verdict, config.VerdictConflict)
	i.Equal(r.Revision, model.Revision(2))
	s, r = config.Apply(s, declare("b", "v@2", 1)) // resent
	i.Equal(r.Revision, model.Revision(2))
	i.Equal(s.Config.Revision, model.Revision(2))
	s, r = config.Apply(s, config.Command{At: at, Change: &config.Change{ID: "d", Operation: config.WithdrawVersion, Name: "v@1"}})
	i.Equal(r.Verdict, config.VerdictCommitted)
	s, r = config.Apply(s, declare("e", "v@1", 0))
	i.Equal(r.Verdict, config.VerdictRejected)
	v, _ := s.Config.Version("v@1")
	i.Equal(v.State, model.VersionWithdrawn)
}

// TestClaims proves that one attempt wins, that not-run gives the key back, and that a late true outcome
// replaces unknown but nothing replaces ran.
func TestClaims(t *testing.T) {
	i := is.New(t)
	s, r := config.Apply(config.NewState(), begin("1"))
	i.True(r.Granted)
	s, r = config.Apply(s, begin("2"))
	i.True(!r.Granted)
	s, r = config.Apply(s, begin("1")) // the winner asks again after a lost answer
	i.True(r.Granted)
	s, _ = config.Apply(s, end("2", model.OutcomeRan)) // not the winner's word
	i.Equal(len(s.OpenClaims()), 1)
	s, _ = config.Apply(s, end("1", model.OutcomeNotRun))
	s, r = config.Apply(s, begin("3"))
	i.True(r.Granted)
	s, _ = config.Apply(s, end("3", model.OutcomeUnknown))
	s, _ = config.Apply(s, end("3", model.OutcomeRan))
	s, r = config.Apply(s, end("3", model.OutcomeNotRun))
	i.Equal(r.Claim.End.Outcome, model.OutcomeRan)
	s, r = config.Apply(s, begin("4"))
	i.True(!r.Granted)
	i.Equal(r.Claim.End.RequestID, "3")
	c := begin("5")
	c.Begin.Fingerprint = "other"
	_, r = config.Apply(s, c)
	i.Equal(r.Verdict, config.VerdictRejected)
}

// TestSnapshot proves that a state survives its encoding, and that old claims expire.
func TestSnapshot(t *testing.T) {
	i := is.New(t)
	s, _ := config.Apply(config.NewState(), declare("a", "v@1", 0))
	s, _ = config.Apply(s, begin("1"))
	s, _ = config.Apply(s, end("1", model.OutcomeRan))
	b, err := s.Encode()
	i.NoErr(err)
	d, err := config.Decode(b)
	i.NoErr(err)
	i.Equal(d.Config, s.Config)
	i.Equal(d.ClaimCount(), 1)
	_, ok := d.Outcome("a")
	i.True(ok)
	l := begin("9")
	l.Begin.Key = "other"
	l.At = at.Add(config.ClaimRetention + time.Hour)
	d, _ = config.Apply(d, l)
	i.Equal(d.ClaimCount(), 1) // the old one has gone, the new one is there
}
