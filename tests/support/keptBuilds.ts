/**
 * What earlier builds read and write, as kept in `tests/builds/`, and a gossip link that is limited to it.
 *
 * @module
 */
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { type FormatNotice } from "../../src/generated/gossip.js";
import { type GossipLink, type GossipLinkOptions, type GossipMessage } from "../../src/gossip/index.js";
import { parseJson } from "../../src/platform/parseJson.js";
import { parseAddress } from "../../src/transport/index.js";
import { type RecordedExamples } from "./messageRecorder.js";
import { MessageSchema } from "./messageSchema.js";

const KEPT_FOLDER = join("tests", "builds");

/** An earlier build. */
export interface KeptBuild {
    readonly commit: string;
    readonly schema: MessageSchema;
    readonly examples: RecordedExamples;
}

function readKeptBuild(commit: string): KeptBuild {
    const folder = join(KEPT_FOLDER, commit);
    const examples = JSON.parse(readFileSync(join(folder, "examples.json"), "utf8")) as RecordedExamples;
    return { commit, examples, schema: new MessageSchema(join(folder, "gossip.schema.json")) };
}

/** All kept builds. */
export const KEPT_BUILDS: readonly KeptBuild[] = readdirSync(KEPT_FOLDER).map(readKeptBuild);

/** The schema by which this build reads and writes. */
export const PRESENT_SCHEMA = new MessageSchema(join("schema", "gossip.schema.json"));

/** The type of message that links answer themselves. */
const FORMAT_TYPE = "format";

function isFormatNotice(message: unknown): message is FormatNotice {
    return (message as { readonly type?: unknown; }).type === FORMAT_TYPE;
}

/** Returns the message format that an earlier build tells its peers; `undefined` where it tells none. */
function toldFormat({ examples }: KeptBuild): unknown {
    return examples.messages[FORMAT_TYPE]?.["format"];
}

/**
 * Opens a link that reads by a kept schema, and sends only what that schema names. A build that tells its format answers
 * when it is asked.
 */
export async function openKeptLink(kept: KeptBuild, options: GossipLinkOptions): Promise<GossipLink> {
    const { schema } = kept;
    const socket = createSocket("udp4");
    socket.bind(options.port, options.address);
    await once(socket, "listening");
    socket.on("message", (bytes, { address, port }) => {
        const message = parseJson(bytes.toString());
        if (schema.findMessageProblem(message) !== undefined) {
            return;
        }
        if (!isFormatNotice(message)) {
            options.onMessage(message as GossipMessage);
        }
        else if (message.asks) {
            socket.send(JSON.stringify({ ...message, format: toldFormat(kept), asks: false }), port, address);
        }
    });
    let isOpen = true;
    return {
        backlogMilliseconds: () => 0,
        send: (message, addresses) => {
            const definition = schema.messageTypes.get(message.type);
            if (definition === undefined || !isOpen) {
                return;
            }
            const bytes = JSON.stringify(schema.keepKnownFields(definition, message));
            for (const address of addresses) {
                const { host, port } = parseAddress(address).unwrap();
                socket.send(bytes, port, host);
            }
        },
        close: () => {
            isOpen = false;
            socket.close();
        },
    };
}
