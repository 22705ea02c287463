/* Relays between a connection of the lwIP stack and a real TCP socket. */
#ifndef SPLICE_H
#define SPLICE_H

#include "lwip/tcp.h"

/* Relays bytes, FINs and resets in both directions until both connections are
 * closed. Takes ownership of the pcb and of the non-blocking socket `fd`. */
void splice_start(struct tcp_pcb *pcb, int fd);

#endif
