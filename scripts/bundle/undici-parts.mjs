// The parts of undici that the program uses. The package's own entry also loads fetch, web sockets, caches and mocks.
import request from 'undici/lib/api/api-request.js';
import buildConnector from 'undici/lib/core/connect.js';
import errors from 'undici/lib/core/errors.js';
import Agent from 'undici/lib/dispatcher/agent.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';

Object.assign(Dispatcher.prototype, { request });

export { Agent, buildConnector, Client, errors, Pool };
