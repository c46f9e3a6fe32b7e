package core

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PartID identifies a part of a prompt that several requests may share.
type PartID uint64

// maxPartDigits is the number of hexadecimal digits of the largest PartID.
const maxPartDigits = 16

// NewPartID returns the identifier of a part that a caller names by a text. Hexadecimal numbers keep their value, so that
// they read the same in logs; other names are hashed.
func NewPartID(name string) PartID {
	if len(name) <= maxPartDigits {
		if id, err := strconv.ParseUint(name, 16, 64); err == nil {
			return PartID(id)
		}
	}
	return PartID(xxhash.Sum64String(name))
}

// PartsText returns identifiers separated by spaces.
func PartsText(parts []PartID) string { return textOf(parts) }

// textOf returns the texts of identifiers, separated by spaces.
func textOf[ID fmt.Stringer](ids []ID) string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = id.String()
	}
	return strings.Join(names, " ")
}

// String returns the identifier in hexadecimal.
func (p PartID) String() string { return strconv.FormatUint(uint64(p), 16) }
