/**
 * The plain readers of messages against the schemas, for each message type and each place in it.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as z from "zod";
import { createBusyAggregate, createBusyDigest } from "../../tests/support/busyMessages.js";
import { KEPT_BUILDS, PRESENT_SCHEMA } from "../../tests/support/keptBuilds.js";
import { changed, FOREIGN_VALUES, pathsOf } from "../../tests/support/readerCases.js";
import * as generated from "../generated/gossip.js";

type MessageType = keyof typeof generated.messageReaders;

const MESSAGE_TYPES = Object.keys(generated.messageReaders) as MessageType[];

function schemaOf(type: MessageType): z.ZodType {
    const name = PRESENT_SCHEMA.messageTypes.get(type) ?? "";
    const schema: unknown = Reflect.get(generated, `${name.charAt(0).toLowerCase()}${name.slice(1)}Schema`);
    assert.ok(schema instanceof z.ZodType);
    return schema;
}

function fullExample(type: MessageType): unknown {
    return PRESENT_SCHEMA.createFullExample(PRESENT_SCHEMA.messageTypes.get(type) ?? "");
}

/** Fails where a reader returns anything but what the schema does; it may leave a value to the schema. */
function assertLikeSchema(type: MessageType, value: unknown): void {
    const read = generated.messageReaders[type](structuredClone(value));
    if (read !== undefined) {
        const parsed = schemaOf(type).safeParse(value);
        assert.ok(parsed.success, `a reader accepts ${JSON.stringify(value)}`);
        assert.deepEqual(read, parsed.data);
    }
}

for (const type of MESSAGE_TYPES) {
    test(`the reader of ${type} reads a whole message as its schema does`, () => {
        const example = fullExample(type);
        assert.ok(generated.messageReaders[type](example) !== undefined, "left to the schema");
        assertLikeSchema(type, example);
    });

    test(`the reader of ${type} accepts nothing that its schema does not`, () => {
        const example = fullExample(type);
        for (const path of pathsOf(example)) {
            for (const value of FOREIGN_VALUES) {
                assertLikeSchema(type, changed(example, path, (parent, name) => Reflect.set(parent, name, value)));
            }
        }
    });

    test(`the reader of ${type} leaves out what its schema does not name, and does without what may be missing`, () => {
        const example = fullExample(type);
        for (const path of pathsOf(example).slice(1)) {
            assertLikeSchema(type, changed(example, path, (parent, name) => Reflect.deleteProperty(parent, name)));
            const withMore = changed(example, path, parent => Reflect.set(parent, "later", { more: 1 }));
            assertLikeSchema(type, withMore);
        }
        const withMore = { ...example as object, later: 1 };
        assert.ok(generated.messageReaders[type](withMore) !== undefined, "later fields are left to the schema");
    });
}

test("a map with the name that objects inherit from is left to the schema", () => {
    const text = JSON.stringify(createBusyDigest("entry-2", 0)).replace("\"inFlight\":{", "$&\"__proto__\":1,");
    assert.equal(generated.readHostDigest(JSON.parse(text)), undefined);
});

test("what hosts of this and earlier builds say needs no schema", () => {
    assert.ok(generated.readHostDigest(createBusyDigest("entry-2", 0)) !== undefined);
    assert.ok(generated.readFleetSummary(createBusyAggregate(1, 10)) !== undefined);
    for (const { examples: { messages } } of KEPT_BUILDS) {
        for (const [type, message] of Object.entries(messages)) {
            assert.ok(generated.messageReaders[type as MessageType](message) !== undefined, type);
            assertLikeSchema(type as MessageType, message);
        }
    }
});
