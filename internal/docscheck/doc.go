// Package docscheck holds the checks of the pages: the commands, flags, settings and metrics that they name exist,
// their links lead somewhere, and the reference is the one that the code makes.
package docscheck
