// Package docscheck holds tests of the documentation: the commands, flags, settings and metrics that it names exist,
// its links resolve, and the reference page is the one generated from the code.
package docscheck
