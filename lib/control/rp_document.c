#include "rp_document.h"

#include <glib.h>
#include <string.h>

#define DEFAULT_FLOWS 100000
#define MAX_FLOWS 1000000
#define DEFAULT_RETRIES 10
#define MAX_RETRIES 100
#define DEFAULT_SILENCE 30
#define MIN_SILENCE 5
#define MAX_SILENCE 3600
#define MS_PER_SECOND 1000
#define ALL_SLOTS 100

/* A key that a document may have, and where it was found. */
enum key_index {
    KEY_NAME,
    KEY_ADDRESS,
    KEY_FLOWS,
    KEY_RETRIES,
    KEY_SILENCE,
    KEY_LONG_SLOTS,
    KEY_COUNT
};

struct known_key {
    const char *group;
    const char *key;
};

static const struct known_key known_keys[KEY_COUNT] = {
    [KEY_NAME] = {"service", "name"},
    [KEY_ADDRESS] = {"service", "address"},
    [KEY_FLOWS] = {"limits", "flows-per-upstream"},
    [KEY_RETRIES] = {"limits", "retries-percent"},
    [KEY_SILENCE] = {"recovery", "silence-seconds"},
    [KEY_LONG_SLOTS] = {"placement", "long-slots-percent"},
};

/* The scan of one document. */
struct scan {
    struct rp_error *error;
    GString *clean; /* the text without the lines that cannot be read */
    gchar *group;
    unsigned line;
    unsigned lines[KEY_COUNT]; /* where each known key stands; 0: nowhere */
    bool failed;
};

static void add_finding(struct scan *scan, unsigned line, const char *format,
                        ...) G_GNUC_PRINTF(3, 4);

static void
add_finding(struct scan *scan, unsigned line, const char *format, ...)
{
    gchar *place = g_strdup_printf("line %u", line);
    va_list args;

    va_start(args, format);
    gchar *text = g_strdup_vprintf(format, args);
    va_end(args);
    RpError_Add(scan->error, RP_ERR_DOCUMENT, place, "%s", text);
    scan->failed = true;
    g_free(text);
    g_free(place);
}

static bool
is_known_group(const char *group)
{
    for (size_t i = 0; i < KEY_COUNT; i++) {
        if (!strcmp(known_keys[i].group, group)) {
            return true;
        }
    }
    return false;
}

static void
scan_group(struct scan *scan, struct rp_str line)
{
    g_free(scan->group);
    scan->group = NULL;
    if (line.len < 3 || line.data[line.len - 1] != ']') {
        add_finding(scan, scan->line, "a group reads [name]");
        return;
    }
    scan->group = g_strndup(line.data + 1, line.len - 2);
    if (!is_known_group(scan->group)) {
        add_finding(scan, scan->line, "unknown group [%s]", scan->group);
    }
    g_string_append_printf(scan->clean, "[%s]\n", scan->group);
}

/* Notes where a key stands; false if it is unknown or there already. */
static bool
note_key(struct scan *scan, const char *key)
{
    for (size_t i = 0; i < KEY_COUNT; i++) {
        if (strcmp(known_keys[i].group, scan->group) ||
            strcmp(known_keys[i].key, key)) {
            continue;
        }
        if (scan->lines[i]) {
            add_finding(scan, scan->line, "%s is already set in line %u", key,
                        scan->lines[i]);
            return false;
        }
        scan->lines[i] = scan->line;
        return true;
    }
    if (is_known_group(scan->group)) {
        add_finding(scan, scan->line, "unknown key %s in [%s]", key,
                    scan->group);
    }
    return false;
}

static void
scan_key(struct scan *scan, struct rp_str line)
{
    struct rp_str value;
    struct rp_str key = RpStr_Trim(RpStr_Split(line, '=', &value));

    if (key.len == line.len || key.len == 0) {
        add_finding(scan, scan->line, "expected [group] or key = value");
        return;
    }
    if (!scan->group) {
        add_finding(scan, scan->line, "a key before the first group");
        return;
    }
    gchar *name = g_strndup(key.data, key.len);
    if (note_key(scan, name)) {
        struct rp_str comment;
        value = RpStr_Trim(RpStr_Split(value, '#', &comment));
        g_string_append_printf(scan->clean, "%s=%.*s\n", name, (int)value.len,
                               value.data);
    }
    g_free(name);
}

static void
scan_lines(struct scan *scan, struct rp_str text)
{
    while (text.len) {
        struct rp_str rest;
        struct rp_str line = RpStr_Trim(RpStr_Split(text, '\n', &rest));

        scan->line++;
        if (line.len && line.data[0] == '[') {
            scan_group(scan, line);
        }
        else if (line.len && line.data[0] != '#') {
            scan_key(scan, line);
        }
        text = rest;
    }
}

/* The value of a key, or NULL if the document has none. Free it. */
static gchar *
value_of(GKeyFile *file, enum key_index index)
{
    return g_key_file_get_string(file, known_keys[index].group,
                                 known_keys[index].key, NULL);
}

static uint32_t
read_number(struct scan *scan, GKeyFile *file, enum key_index index,
            uint64_t min, uint64_t max, uint32_t fallback)
{
    gchar *value = value_of(file, index);
    uint64_t number = fallback;

    if (value &&
        (!RpStr_ToUint(RpStr_FromC(value), max, &number) || number < min)) {
        add_finding(scan, scan->lines[index],
                    "%s must be a number from %" G_GUINT64_FORMAT
                    " to %" G_GUINT64_FORMAT,
                    known_keys[index].key, min, max);
    }
    g_free(value);
    return (uint32_t)number;
}

static void
read_name(struct scan *scan, GKeyFile *file, struct rp_document *document)
{
    gchar *value = value_of(file, KEY_NAME);

    if (!value) {
        add_finding(scan, scan->line, "[service] has no name");
    }
    else if (!RpName_IsLabel(RpStr_FromC(value))) {
        add_finding(scan, scan->lines[KEY_NAME],
                    "name must be a-z, 0-9 and inner hyphens, at most %d",
                    RP_NAME_MAX);
    }
    else {
        RpName_Set(&document->name, RpStr_FromC(value));
    }
    g_free(value);
}

static void
read_address(struct scan *scan, GKeyFile *file, struct rp_document *document)
{
    gchar *value = value_of(file, KEY_ADDRESS);

    document->address_line = scan->lines[KEY_ADDRESS];
    if (!value) {
        add_finding(scan, scan->line, "[service] has no address");
    }
    else if (!RpEndpoint_Parse(RpStr_FromC(value), &document->address)) {
        add_finding(scan, scan->lines[KEY_ADDRESS],
                    "address must read a.b.c.d:port");
    }
    g_free(value);
}

static void
read_values(struct scan *scan, GKeyFile *file, struct rp_document *document)
{
    read_name(scan, file, document);
    read_address(scan, file, document);
    document->flows_per_upstream = read_number(scan, file, KEY_FLOWS, 1,
                                               MAX_FLOWS, DEFAULT_FLOWS);
    document->retries_percent = read_number(scan, file, KEY_RETRIES, 0,
                                            MAX_RETRIES, DEFAULT_RETRIES);
    document->silence_ms = MS_PER_SECOND *
                           read_number(scan, file, KEY_SILENCE, MIN_SILENCE,
                                       MAX_SILENCE, DEFAULT_SILENCE);
    document->long_slots_percent = read_number(scan, file, KEY_LONG_SLOTS, 1,
                                               ALL_SLOTS, ALL_SLOTS);
}

void
RpDocument_InitPlain(struct rp_document *document, const struct rp_name *name)
{
    *document = (struct rp_document){.name = *name,
                                     .flows_per_upstream = DEFAULT_FLOWS,
                                     .retries_percent = DEFAULT_RETRIES,
                                     .silence_ms = MS_PER_SECOND *
                                                   DEFAULT_SILENCE,
                                     .long_slots_percent = ALL_SLOTS};
}

enum rp_code
RpDocument_Parse(struct rp_str text, struct rp_document *document,
                 struct rp_error *error)
{
    struct scan scan = {.error = error};

    memset(document, 0, sizeof *document);
    if (text.len > RP_DOCUMENT_MAX) {
        return RpError_Add(error, RP_ERR_LIMIT, "document",
                           "larger than %d bytes", RP_DOCUMENT_MAX);
    }
    if (!g_utf8_validate_len(text.data, text.len, NULL)) {
        return RpError_Add(error, RP_ERR_DOCUMENT, "document",
                           "not UTF-8 text");
    }
    scan.clean = g_string_new(NULL);
    scan_lines(&scan, text);
    GKeyFile *file = g_key_file_new();
    if (scan.clean->len &&
        !g_key_file_load_from_data(file, scan.clean->str, scan.clean->len,
                                   G_KEY_FILE_NONE, NULL)) {
        add_finding(&scan, 1, "cannot be read as a key file");
    }
    read_values(&scan, file, document);
    g_key_file_free(file);
    g_string_free(scan.clean, TRUE);
    g_free(scan.group);
    return scan.failed ? RP_ERR_DOCUMENT : RP_OK;
}
