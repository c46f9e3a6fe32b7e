// Package memory tests entry hosts in virtual time with engines that account for their memory and accept orders, while
// hosts are killed or paused and links are cut.
package memory
