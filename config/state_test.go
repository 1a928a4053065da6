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

// TestChanges checks that a change applies only at the expected revision, that a resent change returns its first result
// without a second effect, and that a withdrawn version can't be declared again.
func TestChanges(t *testing.T) {
	i := is.New(t)
	s, r := config.Apply(config.NewState(), declare("a", "v@1", 0))
	i.Equal(r.Revision, model.Revision(1))
	s, r = config.Apply(s, declare("b", "v@2", 1))
	i.Equal(r.Verdict, config.VerdictCommitted)
	s, r = config.Apply(s, declare("c", "v@3", 1))
	i.Equal(r.Verdict, config.VerdictConflict)
	i.Equal(r.Revision, model.Revision(2))
	s, r = config.Apply(s, declare("b", "v@2", 1)) // resend of change b
	i.Equal(r.Revision, model.Revision(2))
	i.Equal(s.Config.Revision, model.Revision(2))
	s, r = config.Apply(s, config.Command{At: at, Change: &config.Change{ID: "d", Operation: config.WithdrawVersion, Name: "v@1"}})
	i.Equal(r.Verdict, config.VerdictCommitted)
	s, r = config.Apply(s, declare("e", "v@1", 0))
	i.Equal(r.Verdict, config.VerdictRejected)
	v, _ := s.Config.Version("v@1")
	i.Equal(v.State, model.VersionWithdrawn)
}

// TestClaims checks that only one request is granted a claim, that the outcome not-run releases the claim, and that a
// late outcome ran replaces unknown while nothing replaces ran.
func TestClaims(t *testing.T) {
	i := is.New(t)
	s, r := config.Apply(config.NewState(), begin("1"))
	i.True(r.Granted)
	s, r = config.Apply(s, begin("2"))
	i.True(!r.Granted)
	s, r = config.Apply(s, begin("1")) // the holder resends its begin after a lost answer
	i.True(r.Granted)
	s, _ = config.Apply(s, end("2", model.OutcomeRan)) // ignored: request 2 does not hold the claim
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

// TestSnapshot checks that Decode restores what Encode wrote, and that settled claims expire after ClaimRetention.
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
	_, ok := d.ChangeResult("a")
	i.True(ok)
	l := begin("9")
	l.Begin.Key = "other"
	l.At = at.Add(config.ClaimRetention + time.Hour)
	d, _ = config.Apply(d, l)
	i.Equal(d.ClaimCount(), 1) // the settled claim has expired, the new one is kept
}

// TestClaimGrantedAgainDoesNotExpire checks that a claim that was released and granted to another request is kept while
// that request runs, however long.
func TestClaimGrantedAgainDoesNotExpire(t *testing.T) {
	i := is.New(t)
	s, _ := config.Apply(config.NewState(), begin("1"))
	s, _ = config.Apply(s, end("1", model.OutcomeNotRun))
	b := begin("2")
	b.At = at.Add(time.Minute)
	s, r := config.Apply(s, b)
	i.True(r.Granted)
	o := begin("9")
	o.Begin.Key, o.At = "other", at.Add(config.ClaimRetention+time.Hour)
	s, _ = config.Apply(s, o)
	i.Equal(s.ClaimCount(), 2)
	s, r = config.Apply(s, begin("3"))
	i.True(!r.Granted) // request 2 still holds the claim
	e := end("2", model.OutcomeRan)
	e.At = at.Add(config.ClaimRetention + 2*time.Hour)
	s, _ = config.Apply(s, e)
	o.Begin.Key, o.At = "third", at.Add(2*config.ClaimRetention+3*time.Hour)
	s, _ = config.Apply(s, o)
	i.Equal(len(s.OpenClaims()), 2) // request 2's claim has expired after its end
	i.Equal(s.ClaimCount(), 2)
}
