/*
 * Labels are the names of regions and zones: 1 to IR_LABEL_MAX_BYTES bytes of
 * a to z, 0 to 9 and '-'. Host names may also have single dots inside, as
 * domain names and addresses do. Names of services and accounts have the same
 * length and may consist of all that the value of an HTTP header may: no
 * control characters, and no space at either end. What we publish ourselves
 * keeps to labels.
 */
#ifndef IR_CONF_LABEL_H
#define IR_CONF_LABEL_H

#include "conf/json.h"

#define IR_LABEL_MAX_BYTES 63

bool ir_is_label(const char *s);
bool ir_is_name(const char *s);
/* Whether a header can hold the text unchanged; false if it is empty. */
bool ir_is_header_value(const char *s);
/* Getters of a required member, as in json.h; "" after an error. */
const char *ir_json_label(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *key);

/* A name of a service or account; only labels unless the reader is tolerant. */
const char *ir_json_name(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *key);
const char *ir_json_any_name(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *key);

bool ir_is_host_name(const char *s);
const char *ir_json_host_name(struct ir_json_reader *in,
    struct json_object *obj, const char *path, const char *key);

#endif
