// Package configuration tests how many hosts in virtual time agree on the published configuration and host list while
// hosts are killed or paused, links are cut and the platform serves stale documents.
package configuration
