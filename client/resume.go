package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"carobshunt/api"
)

// maxResumeTries is the number of consecutive tries to resume an interrupted answer that may yield no new byte before
// the request is submitted again. After a try that yields some, it is one less.
const maxResumeTries = 4

// recoverAnswer resumes an interrupted answer: at the host that sent it, or through other hosts after a try
// that fails.
func (s *submission) recoverAnswer(ctx context.Context) attemptResult {
	holder := s.result.Host
	via := s.host
	for tries := 0; tries < maxResumeTries && ctx.Err() == nil; tries++ {
		before := len(s.answer.text)
		switch s.resume(ctx, via, holder) {
		case finished:
			return finished
		case retryOtherHost:
			via = s.otherHost(ctx, via)
		}
		if len(s.answer.text) > before {
			tries = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause / 2):
		}
	}
	return retryOtherHost
}

// resume asks the host via for the rest of the answer, which holder has; via forwards the query if it is another host.
func (s *submission) resume(ctx context.Context, via, holder string) attemptResult {
	query := url.Values{
		"dispatch": {strconv.FormatUint(uint64(s.answer.dispatch), 10)},
		"offset":   {strconv.Itoa(len(s.answer.text))},
	}
	address := s.client.url(via, api.PathRequests+"/"+s.req.ID+"/answer?"+query.Encode())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return retryOtherHost
	}
	s.setHeaders(req.Header)
	req.Header.Set(api.HeaderHome, holder)
	resp, err := s.client.http.Do(req)
	if err != nil {
		return retryOtherHost
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return retryOtherHost
	}
	return s.readAnswer(resp)
}

// otherHost returns a host other than address, or address itself if the lookup fails or names no other.
func (s *submission) otherHost(ctx context.Context, address string) string {
	lookup, err := s.client.Lookup(ctx)
	if err != nil {
		return address
	}
	for _, h := range lookup.Hosts {
		if h.Address != address {
			return h.Address
		}
	}
	return address
}
