/**
 * What earlier builds read and write, as kept in `tests/builds/`, and a gossip link that is limited to it.
 *
 * @module
 */
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { type GossipLink, type GossipLinkOptions, type GossipMessage } from "../../src/gossip/index.js";
import { parseJson } from "../../src/platform/parseJson.js";
import { splitAddress } from "../../src/transport/index.js";
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

/** Opens a link that reads strictly by a kept schema, and sends only what that schema names. */
export async function openKeptLink({ schema }: KeptBuild, options: GossipLinkOptions): Promise<GossipLink> {
    const socket = createSocket("udp4");
    socket.bind(options.port, options.address);
    await once(socket, "listening");
    socket.on("message", bytes => {
        const message = parseJson(bytes.toString());
        if (schema.findMessageProblem(message) === undefined) {
            options.onMessage(message as GossipMessage);
        }
    });
    let isOpen = true;
    return {
        send: (message, addresses) => {
            const definition = schema.messageTypes.get(message.type);
            if (definition === undefined || !isOpen) {
                return;
            }
            const bytes = JSON.stringify(schema.keepKnownFields(definition, message));
            for (const address of addresses) {
                const { host, port } = splitAddress(address);
                socket.send(bytes, port, host);
            }
        },
        close: () => {
            isOpen = false;
            socket.close();
        },
    };
}
