// Package memory holds the schedules that put entry hosts in virtual time before engines that count their memory and
// take orders, with kills, pauses and cuts.
package memory
