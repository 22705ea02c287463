/* An lwIP TCP/IP stack whose only network interface is Geneve over UDP.
 *
 * The stand-ins for callers and hosts use it to run real TCP through the
 * system on the GLib main loop, without privileges. */
#ifndef LINK_H
#define LINK_H

#include "lwip/tcp.h"
#include "rp_endpoint.h"

/* Starts the stack with one IPv4 address (host byte order). It receives
 * datagrams at `listen` and sends them to `peer`. On failure prints the reason
 * and returns false. */
bool link_start(uint32_t address, struct rp_endpoint listen,
                struct rp_endpoint peer);

/* Converts an IPv4 address in host byte order to lwIP's form. */
ip_addr_t link_address(uint32_t address);

#endif
