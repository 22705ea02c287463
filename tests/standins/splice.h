/* Joins a connection of the stand-in stack to a real TCP socket. */
#ifndef SPLICE_H
#define SPLICE_H

#include "lwip/tcp.h"

/* Relays bytes, ends and resets both ways until both are closed. Takes
 * over the pcb and the non-blocking socket. */
void splice_start(struct tcp_pcb *pcb, int fd);

#endif
