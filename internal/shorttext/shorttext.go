// Package shorttext bounds texts of unknown length for logs and reports.
package shorttext

import "strings"

// Cut returns the begin of a text that is longer than limit bytes, with a mark.
func Cut(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "") + "..."
}
