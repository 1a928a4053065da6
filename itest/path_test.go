package itest_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/hickoryshelf/hickoryshelf/fakes"
	"github.com/hickoryshelf/hickoryshelf/itest"
)

// newClient returns an OpenAI client of h without retries.
func newClient(h *itest.Host, o ...option.RequestOption) openai.Client {
	return openai.NewClient(append([]option.RequestOption{
		option.WithBaseURL("http://" + h.Settings.CallerAddress + "/v1"), option.WithAPIKey(itest.APIKey), option.WithMaxRetries(0),
	}, o...)...)
}

// chatParams returns a completion request with one user message that leaves the choice of the version to the router.
func chatParams(text string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: "auto", MaxTokens: openai.Int(tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

// streamText streams one completion and returns its text. On an error it returns the text that arrived before.
func streamText(ctx context.Context, h *itest.Host, text string, tokens int64, o ...option.RequestOption) (string, error) {
	c := newClient(h, o...)
	s := c.Chat.Completions.NewStreaming(ctx, chatParams(text, tokens))
	var b strings.Builder
	for s.Next() {
		if v := s.Current(); len(v.Choices) > 0 {
			b.WriteString(v.Choices[0].Delta.Content)
		}
	}
	return b.String(), withDetails(s.Err())
}

// withDetails returns an error with the code and the message of the host that refused: the client's own text names only the status.
func withDetails(err error) error {
	var e *openai.Error
	if !errors.As(err, &e) {
		return err
	}
	return fmt.Errorf("%w, %s: %s", err, e.Code, e.Message)
}

// TestWholePath tests that a streamed and a plain request through different hosts are matched to their contract, answered
// in full, run once and billed once.
func TestWholePath(t *testing.T) {
	i := is.New(t)
	x := context.Background()
	c := itest.StartCluster(t, binary, itest.ThreeHosts())
	e := c.StartEngine("engine-bern", "bern-halle", fakes.EngineOptions{Versions: []string{itest.SmallVersion}})
	f := c.StartEngine("engine-olten", "olten-halle", fakes.EngineOptions{Versions: []string{itest.LargeVersion}})
	c.Configure(c.Hosts[1])
	c.WaitEndpoints(2)

	a, err := streamText(x, c.Hosts[2], "Which chair fits?", 30)
	i.NoErr(err)
	i.Equal(strings.Count(a, " "), 30) // the streamed answer is complete

	o := newClient(c.Hosts[1])
	r, err := o.Chat.Completions.New(x, chatParams("Summarise the inspection.", 20))
	i.NoErr(err)
	i.Equal(strings.Count(r.Choices[0].Message.Content, " "), 20) // the plain answer is complete

	b, err := itest.Bills(x, c.Hosts[0], "")
	i.NoErr(err)
	i.Equal(len(b), 2) // one bill line for each request
	i.Equal(b[0].GetOutputTokens()+b[1].GetOutputTokens(), int64(50))
	i.Equal(len(e.Runs())+len(f.Runs()), 2) // each request ran once
}

// TestStreamIsNotBuffered guards against buffering of streamed answers: the first token must reach the caller long before
// the engine has generated the last one.
func TestStreamIsNotBuffered(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	c := itest.StartCluster(t, binary, itest.ThreeHosts())
	c.StartEngine("engine-1", "bern-halle", fakes.EngineOptions{Versions: []string{itest.SmallVersion}, Interval: 20 * time.Millisecond})
	c.Configure(c.Hosts[0])
	c.WaitEndpoints(1)
	s := time.Now()
	o := newClient(c.Hosts[1])
	p := o.Chat.Completions.NewStreaming(context.Background(), chatParams("one", 50))
	i.True(p.Next())
	f := time.Since(s)
	for p.Next() {
	}
	i.NoErr(p.Err())
	i.True(f < 400*time.Millisecond) // the users' target for the time to first token
	i.True(time.Since(s) > 900*time.Millisecond)
}
