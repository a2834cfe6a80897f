/**
 * Messages and records between this build and earlier ones.
 *
 * Where one of these fails after a change of `schema/gossip.schema.json`, the change is not one that
 * `docs/design/builds-side-by-side.md` allows: hosts of the two builds would not hear each other during an upgrade.
 *
 * @module
 */
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
    engineHolderSchema,
    hostRegistrationSchema,
    settledRestoresSchema,
    sharedStateSchema,
    streamJournalRecordSchema,
    streamVersionRecordSchema,
} from "../src/generated/gossip.js";
import { type GossipLink, type GossipMessage, openGossipLink } from "../src/gossip/index.js";
import { findFreePorts } from "../standins/freePorts.js";
import { until } from "./support/entrySite.js";
import { KEPT_BUILDS, type KeptBuild, openKeptLink, PRESENT_SCHEMA } from "./support/keptBuilds.js";

const LOOPBACK = "127.0.0.1";

/** The type of message that links answer themselves. */
const FORMAT_TYPE = "format";

/** A datagram that is read at all has arrived within this time. */
const ARRIVAL_MILLISECONDS = 300;

/** A peer is no longer taken for one of the build before it at its address after this time. */
const TAKE_OVER_MILLISECONDS = 3_000;

/** Readers of the records under each prefix of their keys. */
const RECORD_READERS = {
    "hosts/": hostRegistrationSchema,
    "holders/": engineHolderSchema,
    "restores": settledRestoresSchema,
    "streams/versions": streamVersionRecordSchema,
    "streams/begun/": streamJournalRecordSchema,
} as const;

/** Definitions of records, and of the answer to a request for shared state. */
const RECORD_DEFINITIONS = [
    "HostRegistration",
    "EngineHolder",
    "SettledRestores",
    "StreamVersionRecord",
    "StreamJournalRecord",
    "SharedState",
];

/** A link, its address, and the messages that it has received. */
interface TestLink {
    readonly link: GossipLink;
    readonly address: string;
    readonly received: GossipMessage[];
}

async function openTestLink(
    context: TestContext,
    { kept, port: fixedPort }: { readonly kept?: KeptBuild; readonly port?: number; } = {},
): Promise<TestLink> {
    const [freePort = 0] = await findFreePorts(1);
    const port = fixedPort ?? freePort;
    const received: GossipMessage[] = [];
    const options = {
        address: LOOPBACK,
        port,
        onMessage: (message: GossipMessage) => received.push(message),
        onProblem: () => undefined,
    };
    const link = await (kept === undefined ? openGossipLink(options) : openKeptLink(kept, options));
    let isOpen = true;
    const close = (): void => {
        if (isOpen) {
            isOpen = false;
            link.close();
        }
    };
    context.after(close);
    return { link: { ...link, send: link.send.bind(link), close }, received, address: `${LOOPBACK}:${port}` };
}

/** Returns an example of each message of this build with all of its fields, without those that links handle. */
function fullMessages(): GossipMessage[] {
    return [...PRESENT_SCHEMA.messageTypes].filter(([type]) => type !== FORMAT_TYPE).map(([, definition]) =>
        PRESENT_SCHEMA.createFullExample(definition) as unknown as GossipMessage
    );
}

async function exchange(from: TestLink, to: TestLink, messages: readonly GossipMessage[]): Promise<string[]> {
    messages.forEach(message => from.link.send(message, [to.address]));
    const types = messages.map(({ type }) => type);
    const isMissing = (type: string): boolean => to.received.every(message => message.type !== type);
    await until(() => !types.some(isMissing), ARRIVAL_MILLISECONDS).catch(() => undefined);
    return types.filter(isMissing);
}

for (const kept of KEPT_BUILDS) {
    const { commit, examples, schema } = kept;

    test(`messages of ${commit} are read`, async context => {
        const old = await openTestLink(context, { kept });
        const present = await openTestLink(context);
        const messages = Object.values(examples.messages).filter(({ type }) => type !== FORMAT_TYPE);
        assert.deepEqual(await exchange(old, present, messages as unknown as GossipMessage[]), []);
    });

    test(`the question for a format of ${commit} is answered where it asks, so that it reads`, async context => {
        const question = examples.messages[FORMAT_TYPE];
        if (question === undefined) {
            assert.ok(!schema.messageTypes.has(FORMAT_TYPE));
            return;
        }
        const present = await openTestLink(context);
        const old = createSocket("udp4");
        context.after(() => old.close());
        const answers: unknown[] = [];
        old.on("message", bytes => answers.push(JSON.parse(bytes.toString())));
        old.send(JSON.stringify(question), Number(present.address.split(":")[1]), LOOPBACK);
        await until(() => answers.length > 0, ARRIVAL_MILLISECONDS);
        assert.equal(schema.findMessageProblem(answers[0]), undefined);
    });

    test(`records and shared state of ${commit} are read`, () => {
        for (const [prefix, record] of Object.entries(examples.records)) {
            const reader = RECORD_READERS[prefix as keyof typeof RECORD_READERS];
            assert.deepEqual(reader.safeParse(record).data, record, prefix);
        }
        assert.deepEqual(sharedStateSchema.safeParse(examples.state).data, examples.state);
    });

    test(`hosts of ${commit} read every message of a type that they know, with all fields`, async context => {
        const old = await openTestLink(context, { kept });
        const present = await openTestLink(context);
        const messages = fullMessages().filter(({ type }) => schema.messageTypes.has(type));
        assert.deepEqual(await exchange(present, old, messages), []);
    });

    test(`hosts of ${commit} read every record of a kind that they know, and shared state`, () => {
        for (const definition of RECORD_DEFINITIONS) {
            if (schema.has(definition)) {
                const example = PRESENT_SCHEMA.createFullExample(definition);
                assert.equal(schema.findProblem(definition, example), undefined, definition);
            }
        }
    });
}

test("a message with a field of a later build is read, and one of an unknown type does no harm", async context => {
    const present = await openTestLink(context);
    const later = createSocket("udp4");
    context.after(() => later.close());
    const [digest] = fullMessages().filter(({ type }) => type === "digest");
    for (const message of [{ type: "of-a-later-build" }, { ...digest, ofALaterBuild: { fields: 1 } }]) {
        later.send(JSON.stringify(message), Number(present.address.split(":")[1]), LOOPBACK);
    }
    await delay(ARRIVAL_MILLISECONDS);
    assert.deepEqual(present.received.map(({ type }) => type), ["digest"]);
});

test("once hosts of this build have heard each other, each message is sent once with all fields", async context => {
    const one = await openTestLink(context);
    const other = await openTestLink(context);
    await exchange(one, other, fullMessages());
    await exchange(other, one, fullMessages());
    other.received.length = 0;
    await exchange(one, other, fullMessages());
    await delay(ARRIVAL_MILLISECONDS);
    const byType = (messages: readonly GossipMessage[]): GossipMessage[] =>
        [...messages].sort((left, right) => left.type.localeCompare(right.type));
    assert.deepEqual(byType(other.received), byType(fullMessages()));
});

test("a host of an earlier build that takes an address over hears its peers within seconds", async context => {
    const present = await openTestLink(context);
    const replaced = await openTestLink(context);
    const digests = fullMessages().filter(({ type }) => type === "digest");
    await exchange(present, replaced, digests);
    await exchange(replaced, present, digests);
    replaced.link.close();
    const [kept] = KEPT_BUILDS;
    assert.ok(kept !== undefined);
    const old = await openTestLink(context, { kept, port: Number(replaced.address.split(":")[1]) });
    await until(async () => (await exchange(present, old, digests)).length === 0, TAKE_OVER_MILLISECONDS);
});
