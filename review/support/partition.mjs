/**
 * A cut between two parts of the hosts, and between one of them and the store: relays of the datagrams that pass from
 * part to part, and a relay to the store for each host. The store's relay names hosts of the other part by the addresses
 * of their relays, so that what they send passes these.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createSocket } from "node:dgram";
import { createServer, request as sendRequest } from "node:http";
import { record, takeAddress } from "./harness.mjs";

const GOSSIP_PORT = 7380;
const HOST_PREFIX = "hosts/";

function encode(value) {
    return Buffer.from(JSON.stringify(value)).toString("base64");
}

/** Parts of a deployment's hosts; while one is cut, what passes between them is dropped, and its calls to the store. */
export class Partition {
    /** The part that is cut off from the others and from the store. */
    cutPart = undefined;
    /** Sockets by reader and named host: where the reader sends what is for the named host. */
    #links = new Map();
    /** The host whose next renewal is awaited, and what to do once its answer has been passed on. */
    #awaited = undefined;
    #stores = new Map();
    #storeAddress;
    #partOf;
    #realAddresses = new Map();

    /** `partOf` returns the part of a host by its name. */
    constructor(storeAddress, partOf) {
        this.#storeAddress = storeAddress;
        this.#partOf = partOf;
    }

    async open(names) {
        for (const name of names) {
            await this.#openStoreRelay(name);
            for (const other of names.filter(each => this.#partOf(each) !== this.#partOf(name))) {
                await this.#openLink(name, other);
            }
        }
    }

    storeAddressOf(name) {
        const { address, server } = this.#stores.get(name);
        return `${address}:${server.address().port}`;
    }

    close() {
        this.#links.forEach(({ socket }) => socket.close());
        this.#stores.forEach(({ server }) => {
            server.closeAllConnections();
            server.close();
        });
    }

    #linkOf(reader, named) {
        return this.#links.get(`${reader} ${named}`);
    }

    async #openLink(reader, named) {
        const socket = createSocket("udp4");
        const address = takeAddress();
        await new Promise(resolve => socket.bind(GOSSIP_PORT, address, resolve));
        this.#links.set(`${reader} ${named}`, { socket, address: `${address}:${GOSSIP_PORT}` });
        socket.on("message", bytes => {
            const target = this.#realAddresses.get(named);
            if (this.cutPart !== undefined || target === undefined) {
                return;
            }
            const [host, port] = target.split(":");
            const back = this.#linkOf(named, reader);
            back?.socket.send(this.#renameSender(bytes, back.address), Number(port), host);
        });
    }

    /** A digest names its sender's address; the receiver has to know that of the relay. */
    #renameSender(bytes, address) {
        if (!bytes.toString("latin1", 0, 16).startsWith("{\"type\":\"digest\"")) {
            return bytes;
        }
        const digest = JSON.parse(bytes.toString());
        return Buffer.from(JSON.stringify({ ...digest, addresses: { ...digest.addresses, gossip: address } }));
    }

    async #openStoreRelay(name) {
        const address = takeAddress();
        const server = createServer((message, response) => void this.#relayCall(name, message, response));
        server.requestTimeout = 0;
        await new Promise(resolve => server.listen(0, address, resolve));
        this.#stores.set(name, { address, server });
    }

    #isSilentFor(name) {
        return this.cutPart !== undefined && this.#partOf(name) === this.cutPart;
    }

    async #relayCall(name, message, response) {
        const pieces = [];
        for await (const piece of message) {
            pieces.push(piece);
        }
        if (this.#isSilentFor(name)) {
            return;
        }
        const [host, port] = this.#storeAddress.split(":");
        const relayed = sendRequest({
            host,
            port,
            agent: false,
            method: message.method,
            path: message.url,
            headers: { ...message.headers, connection: "close" },
        }, answer => {
            const parts = [];
            answer.on("data", part => parts.push(part));
            answer.on("error", () => response.destroy());
            answer.on("end", () => {
                if (this.#isSilentFor(name)) {
                    return;
                }
                const body = Buffer.from(this.#renameHosts(name, Buffer.concat(parts).toString()));
                response.writeHead(answer.statusCode, {
                    "content-type": "application/json",
                    "content-length": body.length,
                });
                response.end(body, () => this.#recordAnswered(name, message.url));
            });
        });
        relayed.on("error", () => response.destroy());
        response.on("close", () => relayed.destroy());
        relayed.end(Buffer.concat(pieces));
    }

    /** Resolves when the answer to the next renewal of a host's session has been passed on to it. */
    renewed(name) {
        return new Promise(resolve => {
            this.#awaited = { name, resolve };
        });
    }

    #recordAnswered(name, url) {
        if (this.#awaited?.name === name && url.startsWith("/kv-keep/")) {
            this.#awaited.resolve();
            this.#awaited = undefined;
        }
    }

    #renameHosts(reader, text) {
        if (!text.includes(HOST_PREFIX)) {
            return text;
        }
        const body = JSON.parse(text);
        const rename = item => this.#renameHost(reader, item);
        return JSON.stringify({
            ...body,
            ...body.items === undefined ? {} : { items: body.items.map(rename) },
            ...body.events === undefined ? {} : { events: body.events.map(rename) },
        });
    }

    #renameHost(reader, item) {
        if (!item?.key?.startsWith(HOST_PREFIX) || item.value === undefined) {
            return item;
        }
        const registration = JSON.parse(Buffer.from(item.value, "base64").toString());
        this.#realAddresses.set(registration.host, registration.addresses.gossip);
        const link = this.#linkOf(reader, registration.host);
        if (link === undefined) {
            return item;
        }
        const addresses = { ...registration.addresses, gossip: link.address };
        return { ...item, value: encode({ ...registration, addresses }) };
    }
}

/** Takes the sessions of a part's hosts away at the store, as if their leases had run out. */
export function revokeSessions(store, names) {
    for (const name of names) {
        const text = store.get(`${HOST_PREFIX}${name}`);
        if (text !== undefined) {
            const { session } = JSON.parse(text);
            record(`store: the session ${session} of ${name} has ended`);
            store.expireLease(Number(session));
        }
    }
}
