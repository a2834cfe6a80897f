/**
 * Ports on loopback for servers that a test or the demo starts a moment later.
 *
 * @module
 */
import { createServer, type Server } from "node:net";

const LOOPBACK = "127.0.0.1";

/** Below the ports that Linux gives to outgoing connections, which start at 32,768. */
const FIRST_PORT = 20_000;

const PORTS_PER_BLOCK = 40;

const BLOCKS = 300;

/** Ports that belong to this process while it keeps listening on the first of them. */
interface Block {
    readonly guard: Server;
    readonly firstPort: number;
    handedOut: number;
}

let current: Promise<Block> | undefined;

/** Listens on a port; `undefined` where something else does. */
function tryListen(port: number): Promise<Server | undefined> {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", (error: NodeJS.ErrnoException) => {
            if (error.code === "EADDRINUSE") {
                resolve(undefined);
            }
            else {
                reject(error);
            }
        });
        server.listen(port, LOOPBACK, () => resolve(server));
    });
}

async function claimBlock(): Promise<Block> {
    const start = Math.floor(Math.random() * BLOCKS);
    for (let offset = 0; offset < BLOCKS; offset += 1) {
        const firstPort = FIRST_PORT + ((start + offset) % BLOCKS) * PORTS_PER_BLOCK;
        const guard = await tryListen(firstPort);
        if (guard !== undefined) {
            guard.unref();
            return { guard, firstPort, handedOut: 1 };
        }
    }
    throw new Error(`no free ports between ${FIRST_PORT} and ${FIRST_PORT + BLOCKS * PORTS_PER_BLOCK}`);
}

async function nextPort(): Promise<number> {
    for (;;) {
        current ??= claimBlock();
        const block = await current;
        if (block.handedOut >= PORTS_PER_BLOCK) {
            current = undefined;
            continue;
        }
        const port = block.firstPort + block.handedOut;
        block.handedOut += 1;
        const server = await tryListen(port);
        if (server !== undefined) {
            await new Promise(resolve => server.close(resolve));
            return port;
        }
    }
}

/**
 * Finds ports that no other process takes before the caller listens on them: neither one that calls this function, nor
 * an outgoing connection.
 *
 * @param count How many.
 * @throws Rejects where all ports of the range are taken.
 *
 * @example
 * ```ts
 * const [callersPort, peersPort] = await findFreePorts(2);
 * ```
 */
export async function findFreePorts(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
        ports.push(await nextPort());
    }
    return ports;
}
