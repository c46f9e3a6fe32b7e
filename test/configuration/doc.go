// Package configuration holds the tests that run many hosts in virtual time against a published configuration and
// host list, under kills, pauses, cuts and a platform that is stale.
package configuration
