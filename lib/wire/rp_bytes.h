/* Reads and writes big-endian integers in byte buffers. */
#ifndef RP_BYTES_H
#define RP_BYTES_H

#include <stdint.h>

static inline uint16_t
RpBytes_Get16(const uint8_t *p)
{
    return (uint16_t)(p[0] << 8 | p[1]);
}

static inline uint32_t
RpBytes_Get32(const uint8_t *p)
{
    return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 | (uint32_t)p[2] << 8 |
           p[3];
}

static inline uint64_t
RpBytes_Get64(const uint8_t *p)
{
    return (uint64_t)RpBytes_Get32(p) << 32 | RpBytes_Get32(p + 4);
}

static inline void
RpBytes_Put16(uint8_t *p, uint16_t value)
{
    p[0] = (uint8_t)(value >> 8);
    p[1] = (uint8_t)value;
}

static inline void
RpBytes_Put32(uint8_t *p, uint32_t value)
{
    RpBytes_Put16(p, (uint16_t)(value >> 16));
    RpBytes_Put16(p + 2, (uint16_t)value);
}

static inline void
RpBytes_Put64(uint8_t *p, uint64_t value)
{
    RpBytes_Put32(p, (uint32_t)(value >> 32));
    RpBytes_Put32(p + 4, (uint32_t)value);
}

#endif
