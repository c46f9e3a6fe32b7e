// Package notices runs many hosts in virtual time before targets that say something of themselves in their answers, and
// compares what the targets have said with the requests that reach them.
package notices
