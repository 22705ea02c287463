/* Encodes structs as msgpack arrays and decodes them, as described by
 * schemas.
 *
 * A schema lists the members of a struct in wire order. The encoder writes
 * them as one msgpack array. The decoder accepts an array with at least the
 * first `required` fields, sets missing later fields to zero and ignores
 * additional ones, so that a field can be added at the end without breaking
 * older peers.
 */
#ifndef RP_SCHEMA_H
#define RP_SCHEMA_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>

#include "rp_str.h"

#define RP_LIST_MAX 65536 /* elements of one list */
#define RP_DEPTH_MAX 8    /* levels of nested arrays */

enum rp_field_kind {
    RP_FIELD_UINT, /* uint8_t, uint16_t, uint32_t or uint64_t, by its size */
    RP_FIELD_NAME, /* struct rp_name */
    RP_FIELD_TEXT, /* GString *, may hold any bytes; NULL is encoded as "" */
    RP_FIELD_LIST, /* GArray * of structs; NULL is encoded as an empty list */
    RP_FIELD_BLOB  /* uint8_t[n] of fixed size */
};

struct rp_schema;

/* One member of a struct. */
struct rp_field {
    enum rp_field_kind kind;
    size_t offset;                   /* in the struct, in bytes */
    size_t size;                     /* of the member, in bytes */
    const struct rp_schema *element; /* of RP_FIELD_LIST */
};

/* The members of a struct in wire order. */
struct rp_schema {
    const struct rp_field *fields;
    size_t count;    /* fields in all */
    size_t required; /* leading fields that an encoded struct must have */
    size_t size;     /* of the struct, in bytes */
};

/* Initialisers for a field, a list field, and a schema that requires all of
 * its fields. */
#define RP_FIELD(kind_, type_, member_)                                       \
    {                                                                         \
        .kind = (kind_), .offset = offsetof(struct type_, member_),           \
        .size = sizeof(((struct type_ *)0)->member_)                          \
    }
#define RP_FIELD_LIST_OF(type_, member_, schema_)                             \
    {                                                                         \
        .kind = RP_FIELD_LIST, .offset = offsetof(struct type_, member_),     \
        .size = sizeof(GArray *), .element = (schema_)                        \
    }
#define RP_SCHEMA(type_, fields_)                                             \
    {                                                                         \
        .fields = (fields_), .count = G_N_ELEMENTS(fields_),                  \
        .required = G_N_ELEMENTS(fields_), .size = sizeof(struct type_)       \
    }

/* Returns whether `bytes` are exactly one msgpack value that consists of
 * unsigned numbers, byte strings and arrays only, with no array whose header
 * claims more elements than bytes are left. The msgpack library allocates
 * memory by that claim, so call this before the library decodes input. */
bool RpSchema_IsWellFormed(struct rp_str bytes);

/* Writes the struct at `data` to `packer`. */
void RpSchema_Pack(const struct rp_schema *schema, const void *data,
                   msgpack_packer *packer);

/* Fills the struct at `data`, which must be zeroed, from `object`. Returns
 * false and clears the struct if `object` does not match the schema. The
 * caller frees the members with RpSchema_Clear. */
bool RpSchema_Unpack(const struct rp_schema *schema,
                     const msgpack_object *object, void *data);

/* Frees the texts and lists of the struct at `data` and zeroes it. */
void RpSchema_Clear(const struct rp_schema *schema, void *data);

/* Encodes the struct at `data`, as stored in logs and snapshots. The caller
 * frees the result. */
GString *RpSchema_Encode(const struct rp_schema *schema, const void *data);

/* Decodes the output of RpSchema_Encode, which must take up all of `bytes`,
 * into `data`. Returns false if the bytes are malformed. */
bool RpSchema_Decode(const struct rp_schema *schema, struct rp_str bytes,
                     void *data);

/* Creates an empty list for structs of `schema`. RpSchema_Clear of the struct
 * that holds the list frees it. */
GArray *RpSchema_NewList(const struct rp_schema *schema);

#endif
