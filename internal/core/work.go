package core

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strconv"
)

// ContentDigest identifies what a caller wants from a target: 8 bytes of a SHA-256, so that no caller can craft the digest of
// another one's request. It is 0 while it is not known.
type ContentDigest uint64

// DigestContent returns the digest of a request's method, authority, target with its query, and body.
func DigestContent(method, authority, target string, body []byte) ContentDigest {
	return ContentDigest(digestOf([]string{method, authority, target}, body))
}

// WorkID identifies the work that a request is for a target. Requests of one caller with the same identifier are the same
// request, sent again; prompts that differ in what they declare may have the same general identifier. The lowest bit tells
// general ones from others.
type WorkID uint64

// generalBit is set in general identifiers.
const generalBit = 1

// General reports whether the identifier leaves out what the request declares of its prompt.
func (w WorkID) General() bool { return w&generalBit != 0 }

// String returns the identifier in hexadecimal.
func (w WorkID) String() string { return strconv.FormatUint(uint64(w), 16) }

// WorksText returns identifiers separated by spaces.
func WorksText(works []WorkID) string { return textOf(works) }

// WorksOf identifies the work of a request whose content has the given digest, the most specific identifier first: with what
// it declares of its prompt, and without. The team counts for the caller. It returns nil without a digest.
func WorksOf(req *Request, content ContentDigest) []WorkID {
	if content == 0 {
		return nil
	}
	general := []string{req.Team, strconv.FormatUint(uint64(content), 16)}
	if req.Routed == nil {
		general = append(general, req.Model)
	}
	if req.PromptTokens == 0 && len(req.Parts) == 0 {
		return []WorkID{WorkID(digestOf(general, nil)) &^ generalBit}
	}
	specific := append(slices.Clone(general),
		strconv.FormatInt(req.PromptTokens, 10), strconv.FormatInt(req.AnswerTokens, 10), PartsText(req.Parts))
	return []WorkID{WorkID(digestOf(specific, nil)) &^ generalBit, WorkID(digestOf(general, nil)) | generalBit}
}

// minDigest is the least digest, so that none is 0 without its lowest bit.
const minDigest = 2

// digestOf returns 8 bytes of the SHA-256 of some texts, each with its length, and a body. It is never 0.
func digestOf(texts []string, body []byte) uint64 {
	h := sha256.New()
	for _, text := range texts {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(text)))) // a hash returns no error
		_, _ = h.Write([]byte(text))
	}
	_, _ = h.Write(body)
	return max(binary.BigEndian.Uint64(h.Sum(nil)), minDigest)
}
