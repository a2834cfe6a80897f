/**
 * A TCP relay for tests. It can stall its connections for good while new ones work.
 *
 * @module
 */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

const LOOPBACK = "127.0.0.1";

/** A running relay. */
export interface Relay {
    readonly url: string;
    /** Connections accepted since the relay started. */
    readonly connectionCount: number;
    /** Forwards no more bytes on the connections open now, in either direction, and keeps them open. */
    stall(): void;
    /** Stalls the connections open now and all later ones. */
    stallIncludingNew(): void;
    /** Closes the connections open now. */
    disconnect(): void;
    close(): Promise<void>;
}

interface ConnectionPair {
    readonly sockets: readonly [Socket, Socket];
    isStalled: boolean;
}

/**
 * Starts a relay in front of an upstream.
 *
 * @param targetUrl URL of the upstream that connections are forwarded to.
 *
 * @example
 * ```ts
 * const relay = await startRelay("http://127.0.0.1:8001");
 * relay.stall();
 * ```
 */
export async function startRelay(targetUrl: string): Promise<Relay> {
    const target = new URL(targetUrl);
    const pairs = new Set<ConnectionPair>();
    let connectionCount = 0;
    let stallsNew = false;

    function forward(pair: ConnectionPair, from: Socket, to: Socket): void {
        from.on("data", data => {
            if (!pair.isStalled) {
                to.write(data);
            }
        });
        from.on("error", () => undefined);
        from.on("close", () => {
            if (!pair.isStalled) {
                to.destroy();
                pairs.delete(pair);
            }
        });
    }

    const server = createServer(incoming => {
        connectionCount += 1;
        const outgoing = connect(Number(target.port), target.hostname);
        const pair: ConnectionPair = { sockets: [incoming, outgoing], isStalled: stallsNew };
        pairs.add(pair);
        forward(pair, incoming, outgoing);
        forward(pair, outgoing, incoming);
    });
    await new Promise<void>(resolve => server.listen(0, LOOPBACK, resolve));
    const { port } = server.address() as AddressInfo;

    function stallAll(): void {
        pairs.forEach(pair => {
            pair.isStalled = true;
        });
    }

    function destroyAll(): void {
        [...pairs].forEach(({ sockets }) => sockets.forEach(socket => socket.destroy()));
        pairs.clear();
    }

    return {
        url: `http://${LOOPBACK}:${port}`,
        get connectionCount() {
            return connectionCount;
        },
        stall: stallAll,
        stallIncludingNew() {
            stallsNew = true;
            stallAll();
        },
        disconnect: destroyAll,
        async close() {
            destroyAll();
            await new Promise(resolve => server.close(resolve));
        },
    };
}
