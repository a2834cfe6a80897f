/**
 * Which fields of a message the hosts of earlier builds can read.
 *
 * Hosts up to the last strict format drop a message with a field that they do not know. Message formats are counted,
 * and the schema says for each later field which format introduced it.
 *
 * @module
 */
import { messageFormats } from "../generated/gossip.js";

/** Hosts from this format on ignore fields that they do not know. */
export const FIRST_TOLERANT_FORMAT = 5;

/**
 * The format of hosts of which nothing else is known, the earliest that is supported.
 *
 * Forms without rate limits are never sent: a receiver that reads both would take the limits as withdrawn in between.
 */
export const FIRST_FORMAT = 2;

/** The formats that introduced a value's later parts. */
interface PartFormats {
    readonly since?: number;
    readonly fields?: Readonly<Record<string, PartFormats>>;
    readonly items?: PartFormats;
}

/** Anything that is told apart by its type. */
interface TypedMessage {
    readonly type: string;
}

const FORMATS_OF_TYPES: Readonly<Record<string, PartFormats | undefined>> = messageFormats;

/** Returns the formats of a value's parts that have one. */
function presentFormats(value: unknown, { fields = {}, items, since }: PartFormats): number[] {
    const own = since === undefined ? [] : [since];
    if (Array.isArray(value)) {
        return items === undefined ? own : [...own, ...value.flatMap(item => presentFormats(item, items))];
    }
    const parts = value as Readonly<Record<string, unknown>>;
    const ofFields = Object.entries(fields).flatMap(([name, formats]) =>
        parts[name] === undefined ? [] : presentFormats(parts[name], formats)
    );
    return [...own, ...ofFields];
}

/** Returns the latest format of a value's parts; the first one where none has one. */
function latestFormat(value: unknown, { fields = {}, items, since = FIRST_FORMAT }: PartFormats): number {
    if (Array.isArray(value)) {
        return items === undefined
            ? since
            : value.reduce((latest: number, item) => Math.max(latest, latestFormat(item, items)), since);
    }
    let latest = since;
    for (const name in fields) {
        const part = (value as Readonly<Record<string, unknown>>)[name];
        const formats = fields[name];
        if (part !== undefined && formats !== undefined) {
            latest = Math.max(latest, latestFormat(part, formats));
        }
    }
    return latest;
}

/** Returns a value without the parts that a later format introduced. */
function withoutLaterParts(value: unknown, { fields = {}, items }: PartFormats, format: number): unknown {
    if (Array.isArray(value)) {
        return items === undefined ? value : value.map(item => withoutLaterParts(item, items, format));
    }
    if (typeof value !== "object") {
        return value;
    }
    const parts = { ...value as Readonly<Record<string, unknown>> };
    for (const [name, formats] of Object.entries(fields)) {
        if ((formats.since ?? FIRST_FORMAT) > format) {
            Reflect.deleteProperty(parts, name);
        }
        else if (parts[name] !== undefined) {
            parts[name] = withoutLaterParts(parts[name], formats, format);
        }
    }
    return parts;
}

/**
 * Returns the format that the sender of a message is proved to know: that of its latest field, or of its type.
 *
 * @param message The message as received.
 *
 * @example
 * ```ts
 * provedFormat({ type: "digest", hearsUpstreams: true }); // 4
 * ```
 */
export function provedFormat(message: TypedMessage): number {
    const formats = FORMATS_OF_TYPES[message.type];
    return formats === undefined ? FIRST_FORMAT : latestFormat(message, formats);
}

/**
 * Returns the forms in which a message is sent to a host.
 *
 * A host of a strict format may know more than it has proved. It is sent the message up to its proved format, and again
 * in each later strict format that adds a field: it reads those that it can, the most complete one last.
 *
 * @param message The whole message.
 * @param format The format that the receiver is proved to know.
 *
 * @example
 * ```ts
 * formsFor(digest, 5); // [digest]
 * formsFor(digest, 2); // without later fields, then once more for each strict format that adds one
 * ```
 */
export function formsFor<Message extends TypedMessage>(message: Message, format: number): Message[] {
    const formats = FORMATS_OF_TYPES[message.type];
    if (formats === undefined || format >= FIRST_TOLERANT_FORMAT) {
        return [message];
    }
    const ofParts = formats.fields === undefined ? {} : { fields: formats.fields };
    const later = presentFormats(message, ofParts).filter(added => added > format && added < FIRST_TOLERANT_FORMAT);
    const sent = [format, ...new Set(later.sort((left, right) => left - right))];
    return sent.map(known => withoutLaterParts(message, ofParts, known) as Message);
}
